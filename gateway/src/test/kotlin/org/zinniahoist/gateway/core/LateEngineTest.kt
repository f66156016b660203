package org.zinniahoist.gateway.core

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.zinniahoist.gateway.entry.UpstreamFixture
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.gateway.upstream.UpstreamCalls
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Revision
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.policy.routes.RouteTable
import org.zinniahoist.policy.routes.ServiceConfiguration
import org.zinniahoist.state.StateCodec
import org.zinniahoist.state.service.BatchJob
import org.zinniahoist.state.service.JobIdentifier
import org.zinniahoist.state.service.JobRecord
import org.zinniahoist.state.service.ServiceCommand
import org.zinniahoist.state.service.ServiceListener
import org.zinniahoist.state.service.ServiceStateMachine
import org.zinniahoist.state.service.StoredConfiguration
import org.zinniahoist.wire.ServiceReply
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isIn
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests a leader whose threads are delayed while all upstreams continue to send. */
internal class LateEngineTest : ServiceListener {
    private val time = VirtualTime()
    private val runs = VirtualRuns(time)
    private val calls = UpstreamCalls(UpstreamFixture.Names)
    private val machine = ServiceStateMachine(this)
    private var index = 0L

    /** Time that the engine thread spends on each posted task. */
    private var taskCost = Duration.ZERO
    private val engine = BatchEngine(
        StubDialect(),
        calls,
        machine,
        { job, result, onReply -> propose(ServiceCommand.RecordResults(job, listOf(result)), onReply) },
        { job, parts, onReply -> propose(ServiceCommand.RecordTexts(job, parts), onReply) },
        { job, failures, onReply -> propose(ServiceCommand.RecordFailures(job, failures), onReply) },
        { _, task -> post(task) },
        { time.now },
        { time.now.nanoseconds / 1_000_000 },
        GatewayMetrics(),
        UnusedRewardConnections,
        Random(SEED),
        runs,
    )

    @AfterEach
    fun close() = calls.close()

    private fun post(task: () -> Unit) = time.onEngine {
        time.spend(taskCost)
        task()
    }

    private fun propose(command: ServiceCommand, onReply: (ServiceReply) -> Unit) = post {
        apply(command)
        onReply(ServiceReply.Done)
    }

    private fun apply(command: ServiceCommand) {
        machine.apply(++index, time.now.nanoseconds / 1_000_000, StateCodec.encode(command))
    }

    private fun start() {
        val listed = UPSTREAMS.map { name ->
            ListedUpstream(name, EngineFixture.SERVICE, Endpoint("127.0.0.1", 1), "a", SLOTS, false, emptyMap())
        }
        val items = List(UPSTREAMS.size * SLOTS) { EngineFixture.item("i$it") }
        time.onEngine {
            engine.updateUpstreams(listed)
            engine.routes =
                RouteTable(ServiceConfiguration(Revision(1), listOf(EngineFixture.route()), emptyList(), limits = null))
            engine.activate()
            apply(ServiceCommand.SubmitJob(BatchJob(JobIdentifier("j"), "h", "/s/", items, null)))
        }
        time.repeat(TICK, engine::tick)
    }

    private fun expectNoneAborted() {
        expectThat(runs.aborted).describedAs("aborted runs").isEmpty()
        expectThat(runs.started).describedAs("runs").isEqualTo(UPSTREAMS.size * SLOTS)
        expectThat(engine.registry.all).all {
            get { engine.registry.isSuspended(this, time.now) }.describedAs("suspended").isFalse()
            get { engine.registry.paceOf(this) }.describedAs("pace in milliseconds").isIn(EXPECTED_PACE_MILLISECONDS)
        }
    }

    @Nested
    inner class `While all upstreams send` {
        /** Guards against a leader that aborts its runs on all upstreams because it stalled itself (incident 0003). */
        @ParameterizedTest
        @ValueSource(longs = [500, 1_000, 2_000])
        fun `a stalled engine aborts no run`(delay: Long) {
            start()
            time.pass(1.seconds)
            time.onEngine { time.spend(delay.milliseconds) }
            time.pass(delay.milliseconds + 1.seconds)
            expectNoneAborted()
        }

        /** Guards against the same failure when the connection thread stalls. */
        @ParameterizedTest
        @ValueSource(longs = [500, 1_000, 2_000])
        fun `a stalled connection thread aborts no run`(delay: Long) {
            start()
            time.pass(1.seconds)
            time.onConnections(Duration.ZERO) { time.spend(delay.milliseconds) }
            time.pass(delay.milliseconds + 1.seconds)
            expectThat(runs.aborted).isEmpty()
        }

        /** Guards against the same failure when the whole process gets no processor time. */
        @ParameterizedTest
        @ValueSource(longs = [500, 1_000, 2_000])
        fun `a stalled process aborts no run`(delay: Long) {
            start()
            time.pass(1.seconds)
            time.onConnections(Duration.ZERO) { time.spend(delay.milliseconds) }
            time.onEngine { time.spend(delay.milliseconds) }
            time.pass(delay.milliseconds + 1.seconds)
            expectThat(runs.aborted).isEmpty()
        }

        /** Guards against the same failure when events arrive faster than they are processed. */
        @Test
        fun `an engine with a growing backlog aborts no run`() {
            taskCost = 900.microseconds
            start()
            time.pass(4.seconds)
            expectThat(runs.aborted).isEmpty()
        }
    }

    @Nested
    inner class `At the start of many runs` {
        /** Guards against runs whose silence is measured from before their request was sent. */
        @ParameterizedTest
        @ValueSource(longs = [2, 4, 9])
        fun `an engine that is delayed by starting them aborts none`(costOfStart: Long) {
            runs.startCost = costOfStart.milliseconds
            start()
            time.pass(4.seconds)
            expectNoneAborted()
        }

        /** Guards against the same failure when connections are opened late. */
        @ParameterizedTest
        @ValueSource(longs = [500, 1_000, 2_000])
        fun `a connection thread that opens them late aborts none`(delay: Long) {
            time.onConnections(Duration.ZERO) { time.spend(delay.milliseconds) }
            start()
            time.pass(delay.milliseconds + 1.seconds)
            expectNoneAborted()
        }
    }

    @Nested
    inner class `A silent upstream` {
        /** Guards against a stall detection that no longer detects an upstream behind a network partition. */
        @Test
        fun `is abandoned within the stall limit`() {
            start()
            time.pass(1.seconds)
            runs.silent += UPSTREAMS.first()
            time.pass(STALL_LIMIT + TICK * 2)
            expectThat(runs.aborted).containsExactlyInAnyOrder(List(SLOTS) { UPSTREAMS.first() to "stalled" })
        }

        /** Guards against engine delays that hide the silence of an upstream indefinitely. */
        @Test
        fun `is abandoned although the engine stalls repeatedly`() {
            start()
            time.pass(1.seconds)
            runs.silent += UPSTREAMS.first()
            repeat(DELAYS) {
                time.onEngine { time.spend(DELAY) }
                time.pass(DELAY + TICK)
            }
            expectThat(runs.aborted).containsExactlyInAnyOrder(List(SLOTS) { UPSTREAMS.first() to "stalled" })
        }
    }

    override fun onConfiguration(configuration: StoredConfiguration) = Unit

    override fun onJob(record: JobRecord) = post { engine.onJob(record) }

    override fun onResults(record: JobRecord) = Unit

    override fun onVersion(model: ModelName, version: WeightVersion) = Unit

    private companion object {
        const val SEED = 22
        const val SLOTS = 8

        /** As many upstreams as in incident 0003. */
        val UPSTREAMS = List(28) { UpstreamIdentity("u$it") }
        val TICK = 50.milliseconds
        val STALL_LIMIT = 700.milliseconds

        val DELAY = 500.milliseconds

        /** Together the delays take 2.2 s; the longest tolerated silence is 2.5 s. */
        const val DELAYS = 4

        /** Milliseconds between two events; the upstreams send one every 150 ms. */
        val EXPECTED_PACE_MILLISECONDS = 140.0..160.0
    }
}
