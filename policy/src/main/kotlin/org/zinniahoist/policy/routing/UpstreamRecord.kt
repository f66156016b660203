package org.zinniahoist.policy.routing

import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import kotlin.math.exp
import kotlin.math.ln
import kotlin.time.DurationUnit

/** Load and health of one upstream, as seen by an [EstimatedWaitRouter]. */
internal class UpstreamRecord(
    val instance: InstanceName,
    val locality: Locality,
    private val settings: RoutingSettings,
) {
    var available = true
    var inFlight = 0
        private set
    val outliers = OutlierDetector(settings.ejection)
    private var lastReport: LoadDigest? = null
    private var reportedAt = Moment.ZERO
    private var concurrencyLimit = settings.defaultConcurrencyLimit
    private var serviceMilliseconds = settings.defaultServiceTime.toDouble(DurationUnit.MILLISECONDS)

    /** Number of attempts from other entries at the time of the last report. */
    var externalLoad = 0.0
        private set

    fun onStart() {
        inFlight += 1
    }

    fun onEnd() {
        if (inFlight > 0) inFlight -= 1
    }

    fun onReport(digest: LoadDigest, now: Moment) {
        lastReport = digest
        reportedAt = now
        externalLoad = (digest.running + digest.waiting - inFlight).coerceAtLeast(0).toDouble()
        concurrencyLimit = digest.concurrencyLimit.coerceAtLeast(1)
        if (digest.serviceMilliseconds > 0) serviceMilliseconds = digest.serviceMilliseconds
    }

    /**
     * Estimates the number of attempts on the upstream. With the age of the last report, the estimate of the attempts
     * from other entries decays towards [meanExternalLoad].
     */
    fun load(meanExternalLoad: Double, now: Moment): Double {
        if (lastReport == null) return inFlight + meanExternalLoad
        val age = (now - reportedAt) / settings.reportHalfLife
        val reportWeight = exp(-LN_2 * age.coerceAtLeast(0.0))
        return inFlight + reportWeight * externalLoad + (1 - reportWeight) * meanExternalLoad
    }

    /** Estimates the queueing delay of a new attempt, in milliseconds. */
    fun waitMilliseconds(load: Double, expectedMilliseconds: Double): Double =
        (load + 1 - concurrencyLimit).coerceAtLeast(0.0) *
            maxOf(serviceMilliseconds, expectedMilliseconds) / concurrencyLimit

    /** Returns the routing cost in milliseconds: the queueing delay plus the slowdown caused by concurrent attempts. */
    fun cost(load: Double, expectedMilliseconds: Double): Double = waitMilliseconds(load, expectedMilliseconds) +
        settings.fullLoadSlowdown *
        maxOf(serviceMilliseconds, expectedMilliseconds) *
        (load / concurrencyLimit).coerceAtMost(1.0)

    fun isBelowHalfLoad(load: Double): Boolean = load < concurrencyLimit / 2.0

    private companion object {
        val LN_2 = ln(2.0)
    }
}
