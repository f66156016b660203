package org.zinniahoist.policy.liveness

import org.zinniahoist.model.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of [ProbingUpstreamHealth].
 *
 * @property quiet time without bytes on a connection with work after which the upstream is probed.
 * @property interval time between two probes.
 * @property failures probes without an answer in a row that mean that the upstream is down.
 * @property quietLimit time without bytes after which a connection is closed although the upstream answers probes. It
 * is far longer than the time to a first token, and matters only for upstreams that don't name active connections.
 */
public data class ProbeSettings(
    public val quiet: Duration = 2.seconds,
    public val interval: Duration = 1.seconds,
    public val failures: Int = 2,
    public val quietLimit: Duration = 5.minutes,
)

/** Probes an upstream on a new connection when a connection with work is quiet. Quiet alone is no failure. */
public class ProbingUpstreamHealth(private val settings: ProbeSettings = ProbeSettings()) : UpstreamHealth {
    private val lastActivity = HashMap<Long, Moment>()
    private val missing = HashSet<Long>()
    private val closing = HashSet<Long>()
    private var probing = false
    private var nextProbe: Moment? = null
    private var failures = 0

    override fun onActivity(connection: Long, now: Moment) {
        lastActivity[connection] = now
        missing.remove(connection)
    }

    override fun onIdle(connection: Long) {
        lastActivity.remove(connection)
        missing.remove(connection)
        closing.remove(connection)
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
        val absent = quiet(now, settings.quiet).filter { it !in active }
        // One answer may have crossed with the last bytes of the connection, so that two must agree.
        closing.addAll(absent.filter { it in missing })
        missing.clear()
        missing.addAll(absent)
    }

    override fun check(now: Moment): UpstreamAction {
        if (failures >= settings.failures) {
            failures = 0
            return UpstreamAction.Down
        }
        val closed = closing + quiet(now, settings.quietLimit)
        if (closed.isNotEmpty()) {
            closed.forEach(::onIdle)
            return UpstreamAction.CloseConnections(closed)
        }
        val due = !probing && nextProbe.let { it == null || it <= now }
        if (!due || (failures == 0 && quiet(now, settings.quiet).isEmpty())) return UpstreamAction.None
        probing = true
        return UpstreamAction.Probe
    }

    private fun quiet(now: Moment, time: Duration): Set<Long> = lastActivity.filterValues { now - it >= time }.keys
}
