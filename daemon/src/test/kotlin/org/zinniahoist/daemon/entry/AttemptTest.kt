package org.zinniahoist.daemon.entry

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.CallerName
import org.zinniahoist.model.FailureReason
import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RefusalReason
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.Revision
import org.zinniahoist.model.Role
import org.zinniahoist.model.Verdict
import org.zinniahoist.policy.liveness.AvailabilityTracker
import org.zinniahoist.policy.liveness.PlatformListAvailabilityTracker
import org.zinniahoist.policy.retry.NoRetryPolicy
import org.zinniahoist.policy.retry.UnlimitedRetryBudget
import org.zinniahoist.policy.routing.LeastReportedLoadRouter
import org.zinniahoist.wire.AttemptMessage
import org.zinniahoist.wire.LinkCloseCause
import org.zinniahoist.wire.LinkConnection
import org.zinniahoist.wire.LinkMessage
import org.zinniahoist.wire.LoadReport
import org.zinniahoist.wire.Message
import org.zinniahoist.wire.RequestOrigin
import org.zinniahoist.wire.UpstreamCall
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

class AttemptTest {
    private val identifier = AttemptIdentifier("a")
    private val link = SilentLink()
    private val attempt = Attempt(identifier, link.peer.instance, link)

    private fun chunk(sequence: Int) = AttemptMessage.AttemptChunk(identifier, sequence, ByteArray(1))

    @Test
    fun `a sidecar that exceeds its credit fails the attempt instead of exhausting memory`(): Unit = runBlocking {
        repeat(AttemptMessage.INITIAL_CREDIT + 1) { attempt.onChunk(chunk(it)) }
        repeat(AttemptMessage.INITIAL_CREDIT) { expectThat(attempt.next()).isA<AttemptEvent.Chunk>() }
        expectThat(attempt.next()).isA<AttemptEvent.Ended>().get { verdict }
            .isEqualTo(Verdict.MayHaveRun(FailureReason.INCOMPLETE_ANSWER, "more chunks than granted"))
        expectThat(link.sent.filterIsInstance<AttemptMessage.Credit>().sumOf { it.frames })
            .isEqualTo(AttemptMessage.INITIAL_CREDIT)
    }

    @Test
    fun `messages after the end of an attempt are ignored`(): Unit = runBlocking {
        attempt.onChunk(chunk(0))
        attempt.onEnd(AttemptMessage.AttemptEnd(identifier, Verdict.Completed, 1, 200))
        attempt.onChunk(chunk(1))
        attempt.onLost("late")
        expectThat(attempt.next()).isA<AttemptEvent.Chunk>()
        expectThat(attempt.next()).isA<AttemptEvent.Ended>().get { verdict }.isEqualTo(Verdict.Completed)
    }

    private fun run(): Verdict = runBlocking {
        val clock = { Moment.ZERO }
        val tracker: AvailabilityTracker = PlatformListAvailabilityTracker()
        tracker.onPlatformList(setOf(link.peer.instance), emptySet(), Moment.ZERO)
        val links = SidecarLinks(::LeastReportedLoadRouter, tracker, { _, _ -> }, clock, Random(1))
        link.onStart = { links.onClosed(link, LinkCloseCause.Silent) }
        links.onOpen(link)
        links.onMessage(link, LinkMessage.Heartbeat(0, 0, false, Revision(1), LoadReport()))
        val runner = RequestRunner(links, NoRetryPolicy(), UnlimitedRetryBudget(), { _, _ -> }, clock, Random(1))
        val plan = RequestPlan(
            RequestIdentifier("r"),
            RouteTarget.Model(ModelName("m")),
            UpstreamCall("POST", "/", "", ByteArray(0)),
            RequestOrigin.Live(CallerName("c")),
            Moment.ZERO + 60.seconds,
            idempotent = false,
        )
        runner.run(plan, BufferedResponse()).verdict
    }

    @Test
    fun `a link lost before the start message is queued yields not run`() {
        link.accepts = false
        expectThat(run()).isEqualTo(Verdict.NotRun(RefusalReason.NO_UPSTREAM, "link closed before the start"))
    }

    @Test
    fun `a link lost right after the start message is queued yields may have run`() {
        expectThat(run()).isEqualTo(Verdict.MayHaveRun(FailureReason.LINK_LOST, "Silent"))
    }

    private class SilentLink : LinkConnection {
        val sent = mutableListOf<Message>()
        var accepts = true
        var onStart: () -> Unit = {}
        override val peer = LinkMessage.Hello(
            1,
            InstanceName("s"),
            Incarnation(1),
            DOMAIN,
            setOf(Role.SIDECAR),
            engine(InstanceName("s")),
        )
        override val lastHeartbeatReceived = 0L

        override fun heartbeatSentAt(sequence: Long): Moment? = null

        override suspend fun send(message: Message): Boolean {
            if (accepts) sent += message
            if (message is AttemptMessage.StartAttempt) onStart()
            return accepts
        }

        override fun offer(message: Message): Boolean = accepts

        override fun close(reason: String): Unit = Unit
    }
}
