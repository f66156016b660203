package org.zinniahoist.gateway.core

import org.zinniahoist.gateway.upstream.RunObserver
import org.zinniahoist.gateway.upstream.StreamEvent
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.policy.dispatch.DispatchAction
import org.zinniahoist.policy.dispatch.RunEnd
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Simulates upstreams in virtual time that send events at a constant rate, independently of the engine. */
internal class VirtualRuns(private val time: VirtualTime) : RunConnections {
    private val open = HashMap<Long, VirtualRun>()

    /** Upstream and abort reason of each aborted run. */
    val aborted = ArrayList<Pair<UpstreamIdentity, String>>()

    /** Upstreams that send no events. */
    val silent = HashSet<UpstreamIdentity>()

    /** Time that the engine thread spends on starting one run. */
    var startCost: Duration = Duration.ZERO

    /** Number of started runs. */
    var started = 0
        private set

    override fun start(action: DispatchAction.Start, observer: RunObserver) {
        time.spend(startCost)
        started++
        val run = VirtualRun(action, observer)
        open[action.run] = run
        time.onConnections(Duration.ZERO) { send(run) }
    }

    override fun abort(run: Long, reason: String) {
        val ended = open.remove(run) ?: return
        aborted += ended.upstream to reason
    }

    override fun forget(run: Long) {
        open.remove(run)
    }

    override fun whenRead(action: () -> Unit): Unit = time.onConnections(Duration.ZERO, action)

    private fun send(run: VirtualRun) {
        if (!isOpen(run)) return
        run.observer.onSent()
        time.onConnections(FIRST_EVENT) {
            run.observer.onBegin(version = null)
            next(run, number = run.after + 1)
        }
    }

    private fun next(run: VirtualRun, number: Long) {
        if (!isOpen(run)) return
        val event = StreamEvent(number, "text", version = null)
        if (run.upstream !in silent) run.observer.onEvents(listOf(event)) {}
        time.onConnections(PACE) {
            if (number < EVENTS) next(run, number + 1) else end(run)
        }
    }

    private fun end(run: VirtualRun) {
        if (isOpen(run) && run.upstream !in silent) run.observer.onEnd(RunEnd.Completed)
    }

    private fun isOpen(run: VirtualRun): Boolean = open[run.number] === run

    private class VirtualRun(
        action: DispatchAction.Start,
        val observer: RunObserver,
    ) {
        val number = action.run
        val upstream = action.upstream.identity
        val after = action.afterEvent ?: 0
    }

    companion object {
        /** Time between two events of a run on a busy upstream. Several ticks fit into it. */
        val PACE = 150.milliseconds

        /** Delay of the first event, during which an upstream processes the prompt. */
        val FIRST_EVENT = 150.milliseconds

        /** Number of events per item. */
        const val EVENTS = 40L
    }
}
