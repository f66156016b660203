package org.zinniahoist.daemon.sidecar

import com.linecorp.armeria.common.HttpResponse
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.yield
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.zinniahoist.daemon.sidecar.FakeControl.Fault
import org.zinniahoist.model.FailureReason
import org.zinniahoist.model.RefusalReason
import org.zinniahoist.model.Verdict
import org.zinniahoist.state.ledger.LedgerCommand
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration.Companion.seconds

internal class AtMostOnceTest {
    private fun notRun(reason: RefusalReason) = Verdict.NotRun(reason)

    @Nested
    inner class TheSameKey {
        @Test
        fun `guards against two runs when two sidecars get a key at once`() = SidecarScenario.run {
            val gate = CompletableFuture<Unit>()
            upstream.answer = { _, body -> HttpResponse.of(gate.thenApply { HttpResponse.of("done $body") }) }
            val sidecars = listOf(sidecar(), sidecar())
            val links = sidecars.map(::link)
            sidecars.zip(links).forEach { (sidecar, link) -> sidecar.start(link, "a", terms("k")) }
            SidecarScenario.awaitUntil { control.claims >= 2 || upstream.calls.value.size >= 2 }
            gate.complete(Unit)

            links.forEach { link ->
                expectThat(link.end("a").verdict).isEqualTo(Verdict.Completed)
                expectThat(link.text("a")).isEqualTo("done body")
            }
            expectThat(upstream.calls.value).hasSize(1)
        }

        @Test
        fun `guards against a second run after a restart during the first`() = SidecarScenario.run {
            upstream.answer = { _, _ -> HttpResponse.streaming() }
            val first = sidecar()
            first.start(link(first), "a", terms("k"))
            upstream.awaitCalls(1)
            first.close()
            upstream.answer = { _, body -> HttpResponse.of("done $body") }

            val second = sidecar()
            val link = link(second)
            second.start(link, "b", terms("k"))
            SidecarScenario.awaitUntil { control.claims >= 2 || link.hasEnded("b") }
            advanceUntilEnded(link, "b")
            expectThat(link.end("b").verdict).isEqualTo(Verdict.MayHaveRun(FailureReason.KEY_IN_PROGRESS))
            expectThat(upstream.calls.value).hasSize(1)
        }

        @Test
        fun `guards against a second run after a restart behind the first`() = SidecarScenario.run {
            val first = sidecar()
            val firstLink = link(first)
            first.start(firstLink, "a", terms("k"))
            firstLink.end("a")
            first.close()

            val second = sidecar()
            val link = link(second)
            second.start(link, "b", terms("k"))
            expectThat(link.end("b").verdict).isEqualTo(Verdict.Completed)
            expectThat(link.text("b")).isEqualTo("done body")
            expectThat(upstream.calls.value).hasSize(1)
        }

        @Test
        fun `guards against running another body under a key`() = SidecarScenario.run {
            val sidecar = sidecar()
            val link = link(sidecar)
            sidecar.start(link, "a", terms("k"))
            link.end("a")
            sidecar.start(link, "b", terms("k", digest = "other"), body = "other")
            expectThat(link.end("b").verdict).isEqualTo(notRun(RefusalReason.KEY_CONFLICT))
            expectThat(upstream.calls.value).hasSize(1)
        }
    }

    @Nested
    inner class WithoutControl {
        @Test
        fun `guards against a run that is refused as not run`() = SidecarScenario.run {
            val sidecar = sidecar()
            val link = link(sidecar)
            control.fault = { Fault.UNAVAILABLE }
            sidecar.start(link, "a", terms("k"))
            expectThat(link.end("a").verdict).isEqualTo(notRun(RefusalReason.CONTROL_UNAVAILABLE))
            expectThat(upstream.calls.value).isEmpty()

            sidecar.start(link, "b")
            expectThat(link.end("b").verdict).isEqualTo(Verdict.Completed)
        }

        @Test
        fun `guards against a key that a claim blocks after its caller gave up`() = SidecarScenario.run {
            val sidecar = sidecar()
            val link = link(sidecar)
            control.fault = { if (it is LedgerCommand.Claim) Fault.ANSWER_LOST_AND_LATE else Fault.NONE }
            sidecar.start(link, "a", terms("k"))
            expectThat(link.end("a").verdict).isEqualTo(notRun(RefusalReason.CONTROL_UNAVAILABLE))
            control.await { commands -> commands.any { it is LedgerCommand.Release } }
            control.fault = { Fault.NONE }
            control.commitLate()

            sidecar.start(link, "b", terms("k"))
            expectThat(link.end("b").verdict).isEqualTo(Verdict.Completed)
            expectThat(upstream.calls.value).hasSize(1)
        }

        @Test
        fun `guards against an answer that is withheld because it can't be stored`() = SidecarScenario.run {
            val sidecar = sidecar()
            val link = link(sidecar)
            control.fault = { if (it is LedgerCommand.Complete) Fault.UNAVAILABLE else Fault.NONE }
            sidecar.start(link, "a", terms("k"))
            expectThat(link.end("a").verdict).isEqualTo(Verdict.Completed)
            control.fault = { Fault.NONE }
            control.await { commands -> commands.any { it is LedgerCommand.Complete } }
        }
    }

    @Nested
    inner class AfterTheFirstByte {
        @Test
        fun `guards against losing the outcome when the link breaks`() = SidecarScenario.run {
            val gate = CompletableFuture<HttpResponse>()
            upstream.answer = { _, _ -> HttpResponse.of(gate) }
            val sidecar = sidecar()
            val broken = link(sidecar)
            sidecar.start(broken, "a", terms("k"))
            upstream.awaitCalls(1)
            broken.lose()
            gate.complete(HttpResponse.of("done once"))
            control.await { commands -> commands.any { it is LedgerCommand.Complete } }

            val other = sidecar()
            val link = link(other)
            other.start(link, "b", terms("k"))
            expectThat(link.end("b").verdict).isEqualTo(Verdict.Completed)
            expectThat(link.text("b")).isEqualTo("done once")
            expectThat(upstream.calls.value).hasSize(1)
        }

        @Test
        fun `guards against a repeat when the connection is reset after the run`() = SidecarScenario.run {
            upstream.answer = { context, _ ->
                context.log().partial().channel()?.close()
                HttpResponse.streaming()
            }
            val sidecar = sidecar()
            val link = link(sidecar)
            sidecar.start(link, "a", terms("k"))
            expectThat(link.end("a").verdict).isA<Verdict.MayHaveRun>()
                .get { reason }.isEqualTo(FailureReason.UPSTREAM_CRASHED)
            upstream.answer = { _, body -> HttpResponse.of("done $body") }
            SidecarScenario.awaitUntil { sidecar.isReady }
            sidecar.start(link, "b", terms("k"))
            expectThat(link.end("b").verdict).isEqualTo(Verdict.MayHaveRun(FailureReason.OUTCOME_UNKNOWN))
            expectThat(upstream.calls.value).hasSize(1)
        }

        @Test
        fun `guards against storing a part of a large answer as the whole`() = SidecarScenario.run {
            val large = "x".repeat(64 * 1_024 + 1)
            upstream.answer = { _, _ -> HttpResponse.of(large) }
            val sidecar = sidecar()
            val link = link(sidecar)
            sidecar.start(link, "a", terms("k"))
            expectThat(link.end("a").verdict).isEqualTo(Verdict.Completed)
            expectThat(link.text("a")).isEqualTo(large)
            sidecar.start(link, "b", terms("k"))
            expectThat(link.end("b").verdict).isEqualTo(Verdict.MayHaveRun(FailureReason.OUTCOME_UNKNOWN))
        }
    }

    @Nested
    inner class CancelledBeforeTheFirstByte {
        @Test
        fun `guards against a key that stays claimed by a cancelled attempt`() = SidecarScenario.run {
            val claimed = CompletableDeferred<Unit>()
            val sidecar = sidecar()
            val link = link(sidecar)
            control.fault = {
                if (it is LedgerCommand.Claim) claimed.complete(Unit)
                if (it is LedgerCommand.Claim) Fault.ANSWER_LOST_AND_LATE else Fault.NONE
            }
            control.holdAnswers = true
            sidecar.start(link, "a", terms("k"))
            SidecarScenario.awaitUntil { claimed.isCompleted || link.hasEnded("a") }
            sidecar.cancel(link, "a")
            expectThat(link.end("a").verdict).isEqualTo(notRun(RefusalReason.CANCELLED))
            control.await { commands -> commands.any { it is LedgerCommand.Release } }
            expectThat(upstream.calls.value.isEmpty()).isTrue()
        }
    }

    private suspend fun SidecarScenario.advanceUntilEnded(link: FakeLink, attempt: String) {
        while (!link.hasEnded(attempt)) {
            advance(STEP)
            yield()
        }
    }

    private companion object {
        val STEP = 1.seconds
    }
}
