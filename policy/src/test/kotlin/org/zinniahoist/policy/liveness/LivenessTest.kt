package org.zinniahoist.policy.liveness

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isIn
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LivenessTest {
    private val start = Moment.ZERO

    @Nested
    inner class Links {
        private val monitor = HeartbeatMonitor(start)

        /** Runs the checks at the times that the monitor requests, and returns their actions. */
        private fun actions(from: Moment, until: Moment): List<Pair<Moment, LinkAction>> =
            generateSequence(from to monitor.check(from)) { (_, action) ->
                action.nextCheck.takeIf { it <= until && !action.close }?.let { it to monitor.check(it) }
            }.toList()

        /** Guards against a silent link on which requests hang for longer than 3 s. */
        @Test
        fun `are closed after two and a half seconds without a frame`() {
            monitor.onFrameReceived(start + 100.milliseconds)
            val (closedAt, _) = actions(start, start + 10.seconds).last()

            expectThat(closedAt).isEqualTo(start + 2_600.milliseconds)
        }

        @Test
        fun `stay open while heartbeats arrive, and send one every half second`() {
            val actions = (0 until 240).flatMap {
                val now = start + (it * 500).milliseconds
                monitor.onFrameReceived(now)
                actions(now, now + 499.milliseconds)
            }

            expectThat(actions.none { it.second.close }).isTrue()
            expectThat(actions.count { it.second.sendHeartbeat }).isIn(239..241)
        }

        /** Guards against mistaking a pause of this process for silence of the peer. */
        @Test
        fun `get one more interval after a late check`() {
            monitor.check(start)
            expectThat(monitor.check(start + 20.seconds).close).isFalse()
            expectThat(monitor.check(start + 20_500.milliseconds).close).isTrue()
        }
    }

    @Nested
    inner class Upstreams {
        private val health = ProbingUpstreamHealth()

        private fun run(time: Duration, answer: (Moment) -> ProbeResult?): List<UpstreamAction> =
            (1..(time / 100.milliseconds).toInt()).mapNotNull { tick ->
                val now = start + (tick * 100).milliseconds
                health.check(now).also { if (it == UpstreamAction.Probe) health.onProbeResult(answer(now), now) }
                    .takeIf { it != UpstreamAction.None && it != UpstreamAction.Probe }
            }

        /** Guards against a false failure of an upstream that generates no token for a minute. */
        @Test
        fun `may be inactive for a minute while they answer probes`() {
            health.onActivity(1, start)

            expectThat(run(60.seconds) { ProbeResult(null) }).isEqualTo(emptyList())
            expectThat(run(60.seconds) { ProbeResult(setOf(1L)) }).isEqualTo(emptyList())
        }

        /** Guards against requests that wait for an engine that no longer runs. */
        @Test
        fun `are down when probes on new connections are not answered`() {
            health.onActivity(1, start)

            expectThat(run(4.seconds) { null }).isEqualTo(listOf(UpstreamAction.Down))
        }

        /** Guards against a connection that stays silent while new connections to the upstream work. */
        @Test
        fun `lose only the connections that they no longer serve`() {
            health.onActivity(1, start)
            health.onActivity(2, start)

            expectThat(run(4.seconds) { ProbeResult(setOf(2L)) })
                .isEqualTo(listOf(UpstreamAction.CloseConnections(setOf(1L))))
        }
    }

    @Nested
    inner class Availability {
        private val tracker = HeartbeatAvailabilityTracker()
        private val instance = InstanceName("a")

        private fun heartbeat(now: Moment, draining: Boolean = false): Boolean {
            tracker.onHeartbeat(instance, draining, now)
            return tracker.acceptsWork(instance, now)
        }

        /** Guards against routing to a draining upstream that the platform still lists as live. */
        @Test
        fun `the draining flag of a heartbeat takes precedence over the list`() {
            tracker.onPlatformList(setOf(instance), emptySet(), start)
            tracker.onLinkOpen(instance, Incarnation(1), start)

            expectThat(heartbeat(start)).isTrue()
            expectThat(heartbeat(start, draining = true)).isFalse()
            tracker.onLinkClosed(instance, start)
            tracker.onLinkOpen(instance, Incarnation(1), start + 1.seconds)
            tracker.onPlatformList(setOf(instance), emptySet(), start + 1.seconds)
            expectThat(heartbeat(start + 1.seconds)).isFalse()
        }

        /** Guards against routing to an upstream for more than 3 s after it disappeared. */
        @Test
        fun `silence ends new work within three seconds`() {
            tracker.onLinkOpen(instance, Incarnation(1), start)
            heartbeat(start)

            expectThat(tracker.acceptsWork(instance, start + 2_400.milliseconds)).isTrue()
            expectThat(tracker.acceptsWork(instance, start + 2_500.milliseconds)).isFalse()
        }

        /** Guards against not routing to a restarted upstream while the list lags. */
        @Test
        fun `a lagging list does not exclude a new incarnation`() {
            tracker.onLinkOpen(instance, Incarnation(1), start)
            heartbeat(start, draining = true)
            tracker.onPlatformList(emptySet(), setOf(instance), start)
            tracker.onLinkOpen(instance, Incarnation(2), start + 10.seconds)

            expectThat(heartbeat(start + 10.seconds)).isTrue()
            expectThat(heartbeat(start + 71.seconds)).isFalse()
        }

        /** Guards against refusing a restarted upstream for good because its random incarnation is the smaller one. */
        @Test
        fun `a new incarnation accepts work although its number is smaller`() {
            tracker.onLinkOpen(instance, Incarnation(3488921467849892918), start)
            heartbeat(start, draining = true)
            tracker.onLinkClosed(instance, start)
            tracker.onLinkOpen(instance, Incarnation(692035439959051689), start + 1.seconds)

            expectThat(heartbeat(start + 1.seconds)).isTrue()
        }

        /** Guards against a draining process whose delayed link takes the place of its successor. */
        @Test
        fun `an incarnation that was replaced does not return`() {
            tracker.onLinkOpen(instance, Incarnation(2), start)
            heartbeat(start, draining = true)
            tracker.onLinkOpen(instance, Incarnation(1), start + 1.seconds)
            heartbeat(start + 1.seconds)
            tracker.onLinkOpen(instance, Incarnation(2), start + 2.seconds)

            expectThat(tracker.acceptsWork(instance, start + 2.seconds)).isTrue()
        }
    }
}
