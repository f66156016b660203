package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.Moment
import org.zinniahoist.model.WorkspaceName

/** Starts the items that an [ItemOrder] visits. */
internal interface ItemVisit {
    /** Starts the item of [state] if an upstream can run it; returns true if it has started. */
    fun tryStart(state: ItemState): Boolean

    /** Returns false if no waiting item can start any more. */
    fun mayStartAny(): Boolean
}

/** Decides the order in which waiting items start. */
internal interface ItemOrder {
    /** Expected tokens of the running items of each workspace. */
    val runningTokens: Map<WorkspaceName?, Long>

    /** Tries to start each of [waiting], which are sorted by urgency, in the order in which they start at [now]. */
    fun visit(waiting: Collection<ItemState>, now: Moment, visit: ItemVisit)

    /** Returns the number of [waiting] items that start before [state] because of their priority or workspace. */
    fun ahead(state: ItemState, waiting: Collection<ItemState>, now: Moment): Int

    /** Records an item that was submitted. */
    fun onSubmit(work: ItemWork)

    /** Records the start of a run. */
    fun onStart(work: ItemWork)

    /** Records the end of a run. */
    fun onRelease(work: ItemWork)

    /** Records the end of an item, which [isGivenUp] if it has no text. */
    fun onRemove(work: ItemWork, isGivenUp: Boolean)

    /** Removes all items and runs. */
    fun clear()
}

/** Starts items in order of due time, then items carried over, then the longest expected. */
internal object DueTimeOrder : ItemOrder {
    override val runningTokens: Map<WorkspaceName?, Long> get() = emptyMap()

    override fun visit(waiting: Collection<ItemState>, now: Moment, visit: ItemVisit) =
        waiting.forEach { visit.tryStart(it) }

    override fun ahead(state: ItemState, waiting: Collection<ItemState>, now: Moment): Int = 0

    override fun onSubmit(work: ItemWork) = Unit

    override fun onStart(work: ItemWork) = Unit

    override fun onRelease(work: ItemWork) = Unit

    override fun onRemove(work: ItemWork, isGivenUp: Boolean) = Unit

    override fun clear() = Unit
}

/** Returns a new order of the given [kind]. */
internal fun itemOrder(kind: ItemOrderKind): ItemOrder = when (kind) {
    ItemOrderKind.DUE_TIME -> DueTimeOrder
    ItemOrderKind.FAIR_SHARE -> FairShareOrder()
}
