package org.zinniahoist.gateway.upstream

import kotlinx.coroutines.CompletableDeferred
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.policy.dispatch.RunEnd
import java.util.concurrent.atomic.AtomicLong

/** Counts the events of a run and notes its end; one that [isBusy] takes none of what it is told. */
internal open class NotingObserver(private val isBusy: Boolean = false) : RunObserver {
    val ended = CompletableDeferred<RunEnd>()
    val events = AtomicLong()

    /** Number of calls that handed over events. */
    val pieces = AtomicLong()

    override fun onSent() = Unit

    override fun onBegin(version: WeightVersion?) = Unit

    override fun onEvents(events: List<StreamEvent>, whenTaken: () -> Unit) {
        this.events.addAndGet(events.size.toLong())
        pieces.incrementAndGet()
        whenTaken(whenTaken)
    }

    override fun onEnd(end: RunEnd) {
        ended.complete(end)
    }

    override fun whenTaken(action: () -> Unit) {
        if (!isBusy) action()
    }
}
