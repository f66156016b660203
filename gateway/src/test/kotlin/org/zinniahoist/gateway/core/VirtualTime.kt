package org.zinniahoist.gateway.core

import org.zinniahoist.model.Moment
import java.util.PriorityQueue
import kotlin.time.Duration

/**
 * Simulates two threads in virtual time: the engine thread, which runs tasks as [EngineThread] does, and one thread for
 * all connections. Remote processes continue while a thread is delayed.
 */
internal class VirtualTime {
    private val engine = VirtualThread()
    private val connections = VirtualThread()
    private var order = 0L

    /** Current time of the running thread. */
    var now: Moment = Moment.ZERO
        private set

    /** Advances the running thread by [duration], the time its current task takes. */
    fun spend(duration: Duration) {
        now += duration
    }

    /** Schedules [task] on the engine thread after [delay]; it starts later if the thread is busy. */
    fun onEngine(delay: Duration = Duration.ZERO, task: () -> Unit): Unit = engine.add(delay, task)

    /** Schedules [task] on the connection thread, [delay] after the due time of its current task. */
    fun onConnections(delay: Duration, task: () -> Unit): Unit = connections.add(delay, task)

    /** Runs [task] on the engine thread repeatedly, with a delay of [interval] after the end of each run. */
    fun repeat(interval: Duration, task: () -> Unit): Unit = repeat(Duration.ZERO, interval, task)

    private fun repeat(delay: Duration, interval: Duration, task: () -> Unit): Unit = onEngine(delay) {
        task()
        repeat(interval, interval, task)
    }

    /** Runs all tasks that are due within [duration]. */
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
            // A delayed connection thread still finds data at the times at which remote processes sent it.
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
