package org.zinniahoist.policy.duty

import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.Moment
import org.zinniahoist.model.ServiceName
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Tracks how many live requests a service has in progress on average: the arrivals a second times the mean time of a
 * request, which is the time of all requests that ended in a second.
 *
 * Thread-safe, because entries report on the threads of their links.
 */
public class LiveLoadTracker {
    private val known = HashMap<Incarnation, Map<ServiceName, Long>>()
    private val samples = ArrayDeque<Sample>()

    /** Handles the sums since its start, in milliseconds, that [incarnation] reported at [now]. */
    @Synchronized
    public fun onReport(incarnation: Incarnation, busyMilliseconds: Map<ServiceName, Long>, now: Moment) {
        if (busyMilliseconds.isEmpty()) return
        // The first report of an entry may cover a long time, so only what is added later counts.
        val earlier = known.put(incarnation, busyMilliseconds) ?: return
        for ((service, milliseconds) in busyMilliseconds) {
            val added = milliseconds - (earlier[service] ?: 0)
            if (added > 0) samples.addLast(Sample(service, added, now))
        }
        forgetOld(now)
    }

    /** Returns the mean number of requests of [service] in progress during the [WINDOW] before [now]. */
    @Synchronized
    public fun inProgress(service: ServiceName, now: Moment): Double {
        forgetOld(now)
        val busy = samples.filter { it.service == service }.sumOf { it.milliseconds }
        return busy / WINDOW.toDouble(DurationUnit.MILLISECONDS)
    }

    /** Forgets all reports. A new leader must not compare reports with those of an earlier term. */
    @Synchronized
    public fun clear() {
        known.clear()
        samples.clear()
    }

    private fun forgetOld(now: Moment) {
        while (samples.isNotEmpty() && now - samples.first().at > WINDOW) samples.removeFirst()
    }

    private class Sample(
        val service: ServiceName,
        val milliseconds: Long,
        val at: Moment,
    )

    private companion object {
        /** Covers several requests of the longest time; shorter than the delay before a count is lowered. */
        val WINDOW = 10.seconds
    }
}
