package org.zinniahoist.gateway.core

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.gateway.upstream.CrashMonitor
import org.zinniahoist.model.Moment
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.policy.poison.CrashEvidence
import org.zinniahoist.policy.poison.Fingerprint
import org.zinniahoist.policy.poison.ObservedCompletion
import org.zinniahoist.policy.poison.ObservedCrash
import org.zinniahoist.state.StateCodec
import org.zinniahoist.state.service.ServiceCommand
import org.zinniahoist.state.service.ServiceStateMachine
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class CrashRecorderTest {
    private var now = Moment.ZERO
    private val scope = CoroutineScope(Dispatchers.Default)
    private val monitor = CrashMonitor({ false }, { false }, scope, { now }, GatewayMetrics()) {}
    private val machine = ServiceStateMachine(SilentListener)
    private val proposed = ArrayList<ServiceCommand>()

    /** Whether proposals are committed and answered. */
    private var isCommitting = true
    private val recorder = CrashRecorder(monitor, machine.crashes, { now }) { command, onReply ->
        proposed += command
        if (isCommitting) {
            machine.apply(proposed.size.toLong(), 0, StateCodec.encode(command))
            onReply()
        }
    }
    private val request = Fingerprint(7)

    @AfterEach
    fun close() = scope.cancel()

    private fun crash(upstream: String) =
        monitor.onEvidence(CrashEvidence(listOf(ObservedCrash(request, UpstreamIdentity(upstream), now))))

    private fun complete() = monitor.onEvidence(CrashEvidence(completions = listOf(ObservedCompletion(request, now))))

    private fun pass(time: Duration) {
        val end = now + time
        while (now < end) {
            now += 50.milliseconds
            recorder.tick()
        }
    }

    private fun recorded() = machine.crashes.all.map { it.upstream.value }

    /** Guards against the cost of commands while no upstream crashes, or at each step after a crash. */
    @Test
    fun `nothing is proposed without crashes, and each crash once`() {
        pass(10.seconds)
        expectThat(proposed).isEmpty()
        crash("a")
        pass(10.seconds)
        crash("b")
        pass(10.seconds)
        expectThat(proposed).hasSize(2)
        expectThat(recorded()).containsExactly("a", "b")
    }

    /** Guards against two commands for each innocent request in flight at a crash. */
    @Test
    fun `a request that completes soon after a crash is not recorded`() {
        crash("a")
        pass(200.milliseconds)
        complete()
        pass(10.seconds)
        expectThat(proposed).isEmpty()
    }

    /** Guards against blocking a request for crashes before a completed run, after all processes were lost. */
    @Test
    fun `a completed run removes the recorded crashes of its request`() {
        crash("a")
        pass(2.seconds)
        expectThat(recorded()).containsExactly("a")
        complete()
        pass(2.seconds)
        expectThat(recorded()).isEmpty()
        pass(10.seconds)
        expectThat(proposed).hasSize(2)
    }

    /** Guards against a crash that is never recorded because a command was lost, and against a flood of commands. */
    @Test
    fun `a command without a reply is proposed again after a while`() {
        isCommitting = false
        crash("a")
        pass(4.seconds)
        expectThat(proposed).hasSize(1)
        isCommitting = true
        pass(3.seconds)
        expectThat(proposed).hasSize(2)
        expectThat(recorded()).containsExactly("a")
    }
}
