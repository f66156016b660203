package org.zinniahoist.policy.dispatch

import kotlinx.collections.immutable.toPersistentList
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.WeightVersion

/** Identifies one item of one job. */
public data class ItemKey(
    public val job: String,
    public val item: RequestIdentifier,
)

/** Terms under which the samples of one job are drafted. */
public data class DraftTerms(
    public val model: ModelName,
    /** Oldest weights that may generate tokens. */
    public val minimumVersion: WeightVersion,
    /** True if all tokens of one sample must come from the same weights. */
    public val singleVersion: Boolean,
)

/** An item that is to be run until it has a result. */
public data class ItemWork(
    public val key: ItemKey,
    public val service: ServiceName,
    /** When the results of the job are due. */
    public val dueAt: Moment,
    /** When the item may be given up. */
    public val giveUpAt: Moment,
    /** Failed runs after which the item is given up. */
    public val maximumFailures: Int,
    public val group: String? = null,
    /** True if an earlier job already held the item: its trainer waits for it in any case. */
    public val isCarriedOver: Boolean = false,
    public val expectedTokens: Int = 0,
    public val terms: DraftTerms? = null,
    /** Text that an earlier run made. */
    public val text: ItemText = ItemText(),
)

/** Events of an item received so far, of all its runs together. */
public data class ItemText(
    public val events: List<String> = emptyList(),
    /** Number of the last event, or null if there is none. */
    public val lastNumber: Long? = null,
    public val versions: List<WeightVersion> = emptyList(),
    /** Tells this text from others of the same item, or null while it is empty. */
    public val identifier: Long? = null,
) {
    /** Returns the text with one more event. */
    public fun plus(number: Long, data: String, version: WeightVersion?): ItemText = copy(
        // A persistent list shares what it holds, so that an event of a long text costs no more than another.
        events = events.toPersistentList().add(data),
        lastNumber = number,
        versions = if (version == null || version in versions) versions else versions + version,
    )

    /** Returns true if a run under [terms] may go on after this text. */
    public fun fits(terms: DraftTerms?): Boolean =
        terms == null || versions.all { it >= terms.minimumVersion } && (!terms.singleVersion || versions.size <= 1)
}

/** How a run ended. */
public sealed interface RunEnd {
    /** The whole answer was received. */
    public data object Completed : RunEnd

    /** The upstream says that it did not run the item, for want of a place. */
    public data object NotRun : RunEnd

    /** The run could not be sent, and its upstream was asked nothing. */
    public data object NotSent : RunEnd

    /** Another upstream has the address of the one that was meant, and did not run the item. */
    public data object Misdirected : RunEnd

    /** The upstream ran the item and failed. */
    public data object Failed : RunEnd

    /** The upstream says that the item can never be done. */
    public data object Impossible : RunEnd

    /** The connection ended early, or the answer made no sense. */
    public data class Broken(
        public val reason: String,
        /** False if the events of the run can't be the item's text. */
        public val isTextSound: Boolean = true,
    ) : RunEnd
}

/** What the shell has to do for the dispatcher. */
public sealed interface DispatchAction {
    /** Run the item on [upstream], from the event after [afterEvent] if that is set. */
    public data class Start(
        public val run: Long,
        public val key: ItemKey,
        public val upstream: ListedUpstream,
        public val afterEvent: Long?,
    ) : DispatchAction

    /** End the run and close its connection. */
    public data class Abort(
        public val run: Long,
        public val reason: String,
    ) : DispatchAction

    /** The item has its final result. */
    public data class Finish(
        public val key: ItemKey,
        public val isCompleted: Boolean,
        public val text: ItemText,
        public val reason: String,
    ) : DispatchAction
}

/** What remains of a job that was cancelled. */
public class CancelledJob(
    public val aborts: List<DispatchAction.Abort>,
    /** Text of the unfinished items, for a later job that holds them again. */
    public val texts: Map<RequestIdentifier, ItemText>,
)
