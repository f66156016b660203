package org.zinniahoist.daemon.timeline

import io.github.oshai.kotlinlogging.KotlinLogging
import org.zinniahoist.model.InstanceName
import org.zinniahoist.state.report.TimelineEvent
import org.zinniahoist.state.report.TimelinePage

/**
 * Keeps the last [capacity] events in memory and writes each as one log line of key=value pairs.
 *
 * @param log receives the line of each event.
 */
public class TimelineRecorder(
    private val instance: InstanceName,
    private val clock: HybridClock,
    private val capacity: Int = DEFAULT_CAPACITY,
    private val log: (String) -> Unit = { line -> logger.info { line } },
) : EventRecorder {
    private val events = ArrayDeque<TimelineEvent>()
    private var lastSequence = 0L

    init {
        require(capacity > 0) { "capacity is $capacity; allowed: 1 and more" }
    }

    override fun record(name: String, fields: Map<String, Any?>): Unit = log(logLine(append(name, fields)))

    /**
     * Returns up to [limit] events with a sequence number above [after].
     *
     * A cursor beyond the last event is one from before a restart of the daemon, so it starts at the first event.
     */
    @Synchronized
    public fun page(after: Long, limit: Int): TimelinePage {
        val known = if (after > lastSequence) 0 else after
        val first = lastSequence - events.size + 1
        val skipped = (known + 1 - first).coerceIn(0, events.size.toLong()).toInt()
        val selected = events.subList(skipped, minOf(events.size, skipped + limit)).toList()
        val lost = (first - 1 - known).coerceAtLeast(0)
        return TimelinePage(instance, selected, selected.lastOrNull()?.sequence ?: known, lost)
    }

    /** Stamps under the lock, so that the order of stamps is that of sequence numbers. */
    @Synchronized
    private fun append(name: String, fields: Map<String, Any?>): TimelineEvent {
        lastSequence += 1
        val event = TimelineEvent.of(lastSequence, clock.next(), instance, name, fields)
        if (events.size == capacity) events.removeFirst()
        events.addLast(event)
        return event
    }

    public companion object {
        /** About 20 MB at 300 bytes an event; the memory of a daemon for control is bounded by 256 MB. */
        public const val DEFAULT_CAPACITY: Int = 65_536

        private val logger = KotlinLogging.logger {}
    }
}
