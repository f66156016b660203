package org.zinniahoist.experiment.virtual

import org.zinniahoist.model.Moment
import java.util.PriorityQueue
import kotlin.time.Duration

/** Runs events in the order of their virtual time. */
internal class EventLoop {
    var now: Moment = Moment.ZERO
        private set
    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.sequence }))
    private var sequence = 0L

    fun after(delay: Duration, action: () -> Unit) {
        events.add(Event(now + delay.coerceAtLeast(Duration.ZERO), sequence++, action))
    }

    /** Runs [action] now and then again after each [interval]. */
    fun every(interval: Duration, action: () -> Unit) {
        action()
        after(interval) { every(interval, action) }
    }

    fun run(until: Moment) {
        while (events.isNotEmpty() && events.peek().at <= until) {
            val event = events.remove()
            now = event.at
            event.action()
        }
        now = until
    }

    private class Event(
        val at: Moment,
        val sequence: Long,
        val action: () -> Unit,
    )
}
