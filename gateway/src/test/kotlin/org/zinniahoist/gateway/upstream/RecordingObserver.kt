package org.zinniahoist.gateway.upstream

import kotlinx.coroutines.CompletableDeferred
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.policy.dispatch.RunEnd
import java.util.concurrent.atomic.AtomicLong

/** Counts the events of a run and records its end. If [isBusy], it never finishes processing a notification. */
internal open class RecordingObserver(private val isBusy: Boolean = false) : RunObserver {
    val ended = CompletableDeferred<RunEnd>()
    val events = AtomicLong()

    /** Number of [onEvents] calls. */
    val batches = AtomicLong()

    override fun onSent() = Unit

    override fun onBegin(version: WeightVersion?) = Unit

    override fun onEvents(events: List<StreamEvent>, whenProcessed: () -> Unit) {
        this.events.addAndGet(events.size.toLong())
        batches.incrementAndGet()
        whenProcessed(whenProcessed)
    }

    override fun onEnd(end: RunEnd) {
        ended.complete(end)
    }

    override fun whenProcessed(action: () -> Unit) {
        if (!isBusy) action()
    }
}
