package org.zinniahoist.daemon.sidecar

import com.linecorp.armeria.common.HttpResponse
import kotlinx.coroutines.flow.first
import org.junit.jupiter.api.Test
import org.zinniahoist.daemon.sidecar.TestUpstream.Companion.DONE
import org.zinniahoist.daemon.sidecar.TestUpstream.Companion.event
import org.zinniahoist.model.FailureReason
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RefusalReason
import org.zinniahoist.model.Verdict
import org.zinniahoist.policy.admission.FixedConcurrencyLimiter
import org.zinniahoist.policy.liveness.ProbeResult
import org.zinniahoist.policy.liveness.UpstreamAction
import org.zinniahoist.policy.liveness.UpstreamHealth
import org.zinniahoist.policy.poison.CrashCountingRegistry
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue

internal class CrashTest {
    private fun policies(health: UpstreamHealth? = null): SidecarPolicies {
        val reports = LocalCrashReports(SidecarScenario.INSTANCE, CrashCountingRegistry())
        return if (health == null) SidecarPolicies(reports) else SidecarPolicies(reports, health = health)
    }

    @Test
    fun `guards against a third crash by the same request`() = SidecarScenario.run {
        upstream.answer = { context, _ ->
            context.log().partial().channel()?.close()
            HttpResponse.streaming()
        }
        val sidecar = sidecar(policies())
        val link = link(sidecar)
        listOf("a", "b").forEach {
            sidecar.start(link, it)
            expectThat(link.end(it).verdict).isA<Verdict.MayHaveRun>()
                .get { reason }.isEqualTo(FailureReason.UPSTREAM_CRASHED)
            SidecarScenario.awaitUntil { sidecar.isReady }
        }
        sidecar.start(link, "c")
        expectThat(link.end("c").verdict).isEqualTo(Verdict.NotRun(RefusalReason.POISONED))
        expectThat(upstream.calls.value).hasSize(2)
    }

    @Test
    fun `guards against blaming a request for the loss of its connection`() = SidecarScenario.run {
        val sidecar = sidecar(policies())
        val link = link(sidecar)
        upstream.answerWithStreams()
        sidecar.start(link, "other", body = "other")
        val other = upstream.stream()
        upstream.answer = { context, _ ->
            context.log().partial().channel()?.close()
            HttpResponse.streaming()
        }
        listOf("a", "b").forEach {
            sidecar.start(link, it)
            expectThat(link.end(it).verdict).isA<Verdict.MayHaveRun>()
        }
        upstream.answer = { _, _ -> HttpResponse.of("fine") }
        sidecar.start(link, "c")
        expectThat(link.end("c").verdict).isEqualTo(Verdict.Completed)
        other.close()
        expectThat(link.end("other").verdict).isEqualTo(Verdict.Completed)
    }

    @Test
    fun `guards against calling a request run that no upstream received`() = SidecarScenario.run {
        val sidecar = sidecar()
        val link = link(sidecar)
        upstream.stop()
        sidecar.start(link, "a", terms("k"))
        expectThat(link.end("a").verdict).isA<Verdict.NotRun>().get { reason }.isEqualTo(RefusalReason.NO_UPSTREAM)
        SidecarScenario.awaitUntil { !sidecar.load().available }
        control.await { commands -> commands.size == 2 }
    }

    @Test
    fun `guards against a silent connection and against closing one of an engine that thinks`() =
        SidecarScenario.run(SidecarScenario.ENGINE) {
            val health = ScriptedHealth()
            val sidecar = sidecar(policies(health))
            val link = link(sidecar)
            upstream.answerWithStreams()
            sidecar.start(link, "thinks", body = "thinks")
            upstream.stream(0)
            SidecarScenario.awaitUntil { health.active.size == 1 }
            val thinking = health.active.single()
            sidecar.start(link, "silent", terms("k"), body = "silent")
            upstream.stream(1)
            SidecarScenario.awaitUntil { health.active.size == 2 }
            health.actions += UpstreamAction.Probe
            SidecarScenario.awaitUntil { health.probes.isNotEmpty() }
            health.actions += UpstreamAction.CloseConnections(health.active - thinking)
            expectThat(link.end("silent").verdict).isA<Verdict.MayHaveRun>()
                .get { reason }.isEqualTo(FailureReason.UPSTREAM_SILENT)
            expectThat(link.hasEnded("thinks")).isFalse()
            upstream.stream(0).apply {
                write(event(1, 1))
                write(DONE)
                close()
            }
            expectThat(link.end("thinks").verdict).isEqualTo(Verdict.Completed)
        }

    @Test
    fun `guards against sending an attempt that was cancelled while it waited`() = SidecarScenario.run {
        val reports = LocalCrashReports(SidecarScenario.INSTANCE)
        val sidecar = sidecar(SidecarPolicies(reports, limiter = FixedConcurrencyLimiter(limit = 1)))
        val link = link(sidecar)
        upstream.answerWithStreams()
        sidecar.start(link, "running")
        upstream.awaitCalls(1)
        sidecar.start(link, "waiting", terms("k"))
        SidecarScenario.awaitUntil { sidecar.load().waiting == 1 }
        sidecar.cancel(link, "waiting")
        expectThat(link.end("waiting").verdict).isEqualTo(Verdict.NotRun(RefusalReason.CANCELLED))
        upstream.stream().close()
        link.end("running")
        expectThat(upstream.calls.first()).hasSize(1)
    }

    private class ScriptedHealth : UpstreamHealth {
        val active: MutableSet<Long> = ConcurrentHashMap.newKeySet()
        val actions = ConcurrentLinkedQueue<UpstreamAction>()
        val probes = ConcurrentLinkedQueue<ProbeResult>()

        override fun onActivity(connection: Long, now: Moment) {
            active += connection
        }

        override fun onIdle(connection: Long) {
            active -= connection
        }

        override fun onProbeResult(result: ProbeResult?, now: Moment) {
            result?.let(probes::add)
        }

        override fun check(now: Moment): UpstreamAction = actions.poll() ?: UpstreamAction.None
    }
}
