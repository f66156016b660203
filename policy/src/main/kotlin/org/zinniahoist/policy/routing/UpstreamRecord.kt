package org.zinniahoist.policy.routing

import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import kotlin.math.exp
import kotlin.math.ln
import kotlin.time.DurationUnit

/** What an [EstimatedWaitRouter] knows of one upstream. */
internal class UpstreamRecord(
    val instance: InstanceName,
    val place: Place,
    private val settings: RoutingSettings,
) {
    var available = true
    var inFlight = 0
        private set
    val condition = UpstreamCondition(settings.ejection)
    private var reported: LoadDigest? = null
    private var reportedAt = Moment.ZERO
    private var limit = settings.defaultConcurrencyLimit
    private var serviceMilliseconds = settings.defaultServiceTime.toDouble(DurationUnit.MILLISECONDS)

    /** Attempts of other entries at the time of the last report. */
    var foreign = 0.0
        private set

    fun onStart() {
        inFlight += 1
    }

    fun onEnd() {
        if (inFlight > 0) inFlight -= 1
    }

    fun onReport(digest: LoadDigest, now: Moment) {
        reported = digest
        reportedAt = now
        foreign = (digest.running + digest.waiting - inFlight).coerceAtLeast(0).toDouble()
        limit = digest.concurrencyLimit.coerceAtLeast(1)
        if (digest.serviceMilliseconds > 0) serviceMilliseconds = digest.serviceMilliseconds
    }

    /** Expected number of attempts at the upstream. An old report fades towards [meanForeign]. */
    fun load(meanForeign: Double, now: Moment): Double {
        if (reported == null) return inFlight + meanForeign
        val age = (now - reportedAt) / settings.hintHalfLife
        val trust = exp(-LN_2 * age.coerceAtLeast(0.0))
        return inFlight + trust * foreign + (1 - trust) * meanForeign
    }

    /** Milliseconds until a new attempt is expected to get a slot. */
    fun waitMilliseconds(load: Double, meanExpected: Double): Double =
        (load + 1 - limit).coerceAtLeast(0.0) * maxOf(serviceMilliseconds, meanExpected) / limit

    /** Milliseconds that rank upstreams: the wait, and the slower pace on a fuller upstream. */
    fun rank(load: Double, meanExpected: Double): Double = waitMilliseconds(load, meanExpected) +
        settings.crowdingShare * maxOf(serviceMilliseconds, meanExpected) * (load / limit).coerceAtMost(1.0)

    fun hasHalfFree(load: Double): Boolean = load < limit / 2.0

    private companion object {
        val LN_2 = ln(2.0)
    }
}
