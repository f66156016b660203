package org.zinniahoist.daemon.sidecar

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import org.junit.jupiter.api.Test
import org.zinniahoist.daemon.sidecar.TestUpstream.Companion.DONE
import org.zinniahoist.daemon.sidecar.TestUpstream.Companion.event
import org.zinniahoist.model.FailureReason
import org.zinniahoist.model.Label
import org.zinniahoist.model.RefusalReason
import org.zinniahoist.model.TokenSpan
import org.zinniahoist.model.Verdict
import org.zinniahoist.model.WeightVersion
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class StreamTest {
    private val twoVersions =
        Label(listOf(TokenSpan(WeightVersion(1), tokens = 5), TokenSpan(WeightVersion(2), tokens = 4)))

    private fun engine(block: suspend SidecarScenario.() -> Unit) =
        SidecarScenario.run(kind = SidecarScenario.ENGINE, block = block)

    @Test
    fun `guards against a label that misses the swap in the middle of a stream`() = engine {
        upstream.answerWithStreams()
        val sidecar = sidecar()
        val link = link(sidecar)
        sidecar.start(link, "a", terms("k"))
        upstream.stream().apply {
            listOf(event(1, 2), event(1, 3), event(2, 4), DONE).forEach { write(it) }
            close()
        }
        val end = link.end("a")
        expectThat(end.verdict).isEqualTo(Verdict.Completed)
        expectThat(end.label).isEqualTo(twoVersions)
        expectThat(link.chunks("a").map { it.tokens to it.version?.number })
            .isEqualTo(listOf(2 to 1L, 3 to 1L, 4 to 2L))
        expectThat(link.chunks("a").first().bytes.decodeToString()).isEqualTo("""{"weight_version":1,"tokens":2}""")

        sidecar.start(link, "b", terms("k"))
        expectThat(link.end("b").label).isEqualTo(twoVersions)
        expectThat(link.text("b")).isEqualTo(link.text("a"))
    }

    @Test
    fun `guards against losing the label of an answer that is not streamed`() = engine {
        val body = """{"spans":[{"version":1,"tokens":5},{"version":2,"tokens":4}]}"""
        upstream.answer = { _, _ -> HttpResponse.of(HttpStatus.OK, MediaType.JSON, body) }
        val sidecar = sidecar()
        val link = link(sidecar)
        sidecar.start(link, "a")
        expectThat(link.end("a").label).isEqualTo(twoVersions)
        expectThat(link.text("a")).isEqualTo(body)
    }

    @Test
    fun `guards against passing a truncated stream for a whole answer`() = engine {
        upstream.answerWithStreams()
        val sidecar = sidecar()
        val link = link(sidecar)
        sidecar.start(link, "a")
        upstream.stream().apply {
            write(event(1, 2))
            close()
        }
        expectThat(link.end("a").verdict).isA<Verdict.MayHaveRun>()
            .get { reason }.isEqualTo(FailureReason.INCOMPLETE_ANSWER)
    }

    @Test
    fun `guards against sending more chunks than the entry granted`() = engine {
        upstream.answerWithStreams()
        val sidecar = sidecar()
        val link = link(sidecar)
        sidecar.start(link, "a", credit = 2)
        upstream.stream().apply {
            repeat(5) { write(event(1, 1)) }
            write(DONE)
            close()
        }
        link.awaitChunks("a", 2)
        // An attempt that ignores credit ends once its stream does. One that honours it stays until it is cancelled.
        sidecar.start(link, "b")
        upstream.stream(1).apply {
            write(DONE)
            close()
        }
        link.end("b")
        expectThat(link.hasEnded("a")).isFalse()
        expectThat(link.chunks("a")).hasSize(2)
        sidecar.grant(link, "a", 3)
        expectThat(link.end("a").chunks).isEqualTo(5)
    }

    @Test
    fun `guards against an engine that goes on generating for a cancelled attempt`() = engine {
        upstream.answerWithStreams()
        val sidecar = sidecar()
        val link = link(sidecar)
        sidecar.start(link, "a")
        val stream = upstream.stream()
        stream.write(event(1, 1))
        link.awaitChunks("a", 1)
        sidecar.cancel(link, "a")
        expectThat(link.end("a").verdict).isEqualTo(Verdict.MayHaveRun(FailureReason.CANCELLED))
        SidecarScenario.awaitUntil { !stream.isOpen }
    }

    @Test
    fun `guards against a call that outlives its deadline`() = engine {
        upstream.answerWithStreams()
        val sidecar = sidecar()
        val link = link(sidecar)
        sidecar.start(link, "a", budget = 500)
        val stream = upstream.stream()
        advance(501.milliseconds)
        expectThat(link.end("a").verdict).isEqualTo(Verdict.MayHaveRun(FailureReason.DEADLINE_EXCEEDED))
        SidecarScenario.awaitUntil { !stream.isOpen }
    }

    @Test
    fun `guards against a start from an entry that was paused`() = engine {
        val sidecar = sidecar()
        val link = link(sidecar)
        sidecar.start(link, "unknown", heartbeat = FakeLink.HEARTBEAT + 1)
        advance(5.seconds)
        sidecar.start(link, "fresh")
        expectThat(link.end("fresh").verdict).isEqualTo(Verdict.Completed)
        advance(1.milliseconds)
        sidecar.start(link, "stale")
        listOf("unknown", "stale").forEach {
            expectThat(link.end(it).verdict).isEqualTo(Verdict.NotRun(RefusalReason.STALE_START))
        }
        expectThat(upstream.calls.value).hasSize(1)
    }

    @Test
    fun `guards against orders that an entry sends past the fencing tokens`() = engine {
        val sidecar = sidecar()
        val link = link(sidecar)
        sidecar.start(link, "a", path = "/orders", body = """{"kind":"load-version","version":9,"fencing_token":9}""")
        expectThat(link.end("a").verdict).isA<Verdict.NotRun>().get { reason }.isEqualTo(RefusalReason.UNKNOWN_ROUTE)
        expectThat(upstream.orders.value).isEmpty()
    }

    @Test
    fun `guards against a drain that cuts off a long stream`() = engine {
        upstream.answerWithStreams()
        val sidecar = sidecar()
        val link = link(sidecar)
        sidecar.start(link, "long")
        val stream = upstream.stream()
        draining(sidecar) {
            sidecar.start(link, "late")
            expectThat(link.end("late").verdict).isEqualTo(Verdict.NotRun(RefusalReason.DRAINING))
            expectThat(sidecar.load().available).isFalse()
            expectThat(link.closedWith).isEqualTo(null)
            stream.write(event(1, 1))
            stream.write(DONE)
            stream.close()
        }
        expectThat(link.end("long").verdict).isEqualTo(Verdict.Completed)
        expectThat(link.closedWith).isNotNull()
    }

    @Test
    fun `guards against work before the settings were read`() = engine {
        val sidecar = sidecar(settings = null)
        val link = link(sidecar)
        sidecar.start(link, "a")
        expectThat(link.end("a").verdict).isA<Verdict.NotRun>()
            .get { reason }.isEqualTo(RefusalReason.CONTROL_UNAVAILABLE)
        expectThat(upstream.calls.value).isEmpty()
    }
}
