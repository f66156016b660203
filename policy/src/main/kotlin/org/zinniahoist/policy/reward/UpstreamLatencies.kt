package org.zinniahoist.policy.reward

import org.zinniahoist.model.UpstreamIdentity
import kotlin.time.Duration

/** Moving average of the call latencies of each upstream. */
internal class UpstreamLatencies {
    private val averages = object : LinkedHashMap<UpstreamIdentity, Double>() {
        override fun removeEldestEntry(eldest: Map.Entry<UpstreamIdentity, Double>): Boolean = size > MAXIMUM_UPSTREAMS
    }

    /** Returns the average latency of [upstream] in milliseconds, or a low value if none is known. */
    fun of(upstream: UpstreamIdentity): Double = averages[upstream] ?: INITIAL_LATENCY_MILLISECONDS

    /** Records a response of [upstream] that took [latency]. */
    fun record(upstream: UpstreamIdentity, latency: Duration) {
        val measured = latency.inWholeMicroseconds / MICROSECONDS_PER_MILLISECOND
        val known = averages[upstream]
        averages[upstream] = if (known == null) measured else known + SMOOTHING_FACTOR * (measured - known)
    }

    /** Records that a response of [upstream] would have taken at least [latency]. */
    fun recordAtLeast(upstream: UpstreamIdentity, latency: Duration) {
        if (latency.inWholeMicroseconds / MICROSECONDS_PER_MILLISECOND > of(upstream)) record(upstream, latency)
    }

    private companion object {
        /** It is low, so that a new upstream soon gets calls. */
        const val INITIAL_LATENCY_MILLISECONDS = 20.0
        const val SMOOTHING_FACTOR = 0.2
        const val MICROSECONDS_PER_MILLISECOND = 1_000.0

        /** Bounds the memory over many restarts of upstreams, each of which has a new identity. */
        const val MAXIMUM_UPSTREAMS = 10_000
    }
}
