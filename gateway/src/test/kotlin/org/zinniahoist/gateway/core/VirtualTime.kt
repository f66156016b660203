package org.zinniahoist.gateway.core

import org.zinniahoist.model.Moment
import java.util.PriorityQueue
import kotlin.time.Duration

/**
 * Two threads in virtual time: the engine's, which runs its tasks as [EngineThread] does, and the one of all
 * connections. What others do goes on while a thread is late.
 */
internal class VirtualTime {
    private val engine = VirtualThread()
    private val connections = VirtualThread()
    private var order = 0L

    /** The present time of the thread that runs. */
    var now: Moment = Moment.ZERO
        private set

    /** The thread that runs takes [duration] for what it does. */
    fun spend(duration: Duration) {
        now += duration
    }

    /** Runs [task] on the engine's thread, [delay] from now at the earliest. */
    fun onEngine(delay: Duration = Duration.ZERO, task: () -> Unit): Unit = engine.add(delay, task)

    /** Runs [task] on the thread of all connections, [delay] after what it runs now was due. */
    fun onConnections(delay: Duration, task: () -> Unit): Unit = connections.add(delay, task)

    /** Runs [task] on the engine's thread again and again, with [interval] after the end of each run. */
    fun repeat(interval: Duration, task: () -> Unit): Unit = repeat(Duration.ZERO, interval, task)

    private fun repeat(delay: Duration, interval: Duration, task: () -> Unit): Unit = onEngine(delay) {
        task()
        repeat(interval, interval, task)
    }

    /** Lets [duration] pass. */
    fun pass(duration: Duration) {
        val end = maxOf(now, engine.freeFrom) + duration
        while (true) {
            val next = listOf(connections, engine).minBy { it.nextStart }
            if (next.nextStart > end) break
            next.runNext()
        }
        now = end
    }

    private inner class VirtualThread {
        private val tasks = PriorityQueue<Task>(compareBy<Task> { it.due }.thenBy { it.order })
        private var running: Moment? = null

        var freeFrom: Moment = Moment.ZERO
            private set

        val nextStart: Moment get() = tasks.peek()?.let { maxOf(it.due, freeFrom) } ?: Moment(Long.MAX_VALUE)

        fun add(delay: Duration, task: () -> Unit) {
            // A late thread of connections finds what others sent at their pace.
            val from = if (delay.isPositive()) running ?: now else now
            tasks += Task(from + delay, order++, task)
        }

        fun runNext() {
            now = nextStart
            val task = tasks.remove()
            if (this === connections) running = task.due
            task.run()
            running = null
            freeFrom = now
        }
    }

    private class Task(
        val due: Moment,
        val order: Long,
        val run: () -> Unit,
    )
}
