package org.zinniahoist.policy.liveness

import org.zinniahoist.model.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of [ProbingUpstreamHealth].
 *
 * @property probeAfter time without received bytes on an active connection after which the upstream is probed.
 * @property interval interval between two probes.
 * @property failureThreshold number of consecutive unanswered probes after which the upstream is considered down.
 * @property inactivityTimeout time without received bytes after which a connection is closed although the upstream
 * answers probes. It is far longer than the time to first token, and only matters for upstreams that don't report their
 * active connections.
 */
public data class ProbeSettings(
    public val probeAfter: Duration = 2.seconds,
    public val interval: Duration = 1.seconds,
    public val failureThreshold: Int = 2,
    public val inactivityTimeout: Duration = 5.minutes,
)

/**
 * Probes an upstream on a new connection when an active connection is inactive. Inactivity alone is not a failure.
 */
public class ProbingUpstreamHealth(private val settings: ProbeSettings = ProbeSettings()) : UpstreamHealth {
    private val lastActivity = HashMap<Long, Moment>()
    private val absentInLastProbe = HashSet<Long>()
    private val confirmedAbsent = HashSet<Long>()
    private var probing = false
    private var nextProbe: Moment? = null
    private var failures = 0

    override fun onActivity(connection: Long, now: Moment) {
        lastActivity[connection] = now
        absentInLastProbe.remove(connection)
    }

    override fun onIdle(connection: Long) {
        lastActivity.remove(connection)
        absentInLastProbe.remove(connection)
        confirmedAbsent.remove(connection)
    }

    override fun onProbeResult(result: ProbeResult?, now: Moment) {
        probing = false
        nextProbe = now + settings.interval
        if (result == null) {
            failures += 1
            return
        }
        failures = 0
        val active = result.activeConnections ?: return
        val absentConnections = inactiveFor(now, settings.probeAfter).filter { it !in active }
        // A probe response can race with the last bytes of a connection, so two consecutive responses must agree.
        confirmedAbsent.addAll(absentConnections.filter { it in absentInLastProbe })
        absentInLastProbe.clear()
        absentInLastProbe.addAll(absentConnections)
    }

    override fun check(now: Moment): UpstreamAction {
        if (failures >= settings.failureThreshold) {
            failures = 0
            return UpstreamAction.Down
        }
        val connectionsToClose = confirmedAbsent + inactiveFor(now, settings.inactivityTimeout)
        if (connectionsToClose.isNotEmpty()) {
            connectionsToClose.forEach(::onIdle)
            return UpstreamAction.CloseConnections(connectionsToClose)
        }
        val probeDue = !probing && nextProbe.let { it == null || it <= now }
        if (!probeDue || (failures == 0 && inactiveFor(now, settings.probeAfter).isEmpty())) return UpstreamAction.None
        probing = true
        return UpstreamAction.Probe
    }

    private fun inactiveFor(now: Moment, time: Duration): Set<Long> =
        lastActivity.filterValues { now - it >= time }.keys
}
