package org.zinniahoist.gateway.core

import com.linecorp.armeria.common.RequestHeaders
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.model.FencingToken
import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.Moment
import org.zinniahoist.model.WorkspaceName
import org.zinniahoist.policy.duty.UsageAggregator
import org.zinniahoist.policy.duty.UsageCounter
import org.zinniahoist.policy.duty.UsageWindows
import org.zinniahoist.state.StateCodec
import org.zinniahoist.state.service.ServiceAnswer
import org.zinniahoist.state.service.ServiceCommand
import org.zinniahoist.state.service.ServiceStateMachine
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Simulates entries, cores that lead in turn and the platform in virtual time, with one state for the whole log. */
internal class UsageDutyFixture(private val lease: Duration = 3.seconds) {
    val machine = ServiceStateMachine(SilentListener)
    val windows = UsageWindows(5.seconds, 10.seconds)
    val entries = List(3) { Entry(Incarnation(it.toLong())) }

    /** Calls in the order in which the platform received them. */
    val calls = ArrayList<Call>()

    /** Answers of the platform to the next calls; 200 if there are none. Null stands for no response. */
    val answers = ArrayDeque<Int?>()

    /** Called between the arrival of a call at the platform and its answer. */
    var beforeAnswer: suspend () -> Unit = {}
    var now = Moment.ZERO
        private set

    /** Error of the wall clocks of cores. */
    var wallError: Duration = Duration.ZERO
    val wall: Long get() = START + (now - Moment.ZERO).inWholeMilliseconds
    private var index = 0L
    private var term = 0L
    private var leader: Core? = null

    class Call(
        val fence: Long,
        val body: String,
    ) {
        val window = body.substringBefore(' ').toLong()
    }

    inner class Entry(private val incarnation: Incarnation) {
        val counter = UsageCounter(windows)

        fun report() {
            val core = leader ?: return
            val report = counter.pendingReport(wall, term) ?: return
            val closed = machine.usage.newestClosed
            core.aggregator.onReport(term, incarnation, report.windows, closed)
            counter.onAccepted(report, term, closed)
        }
    }

    inner class Core {
        val aggregator = UsageAggregator()

        /** Whether the core has noticed that another one leads. */
        var isFrozen = false
        private val scope = CoroutineScope(Dispatchers.Unconfined)
        private val dutyCalls = DutyCalls(
            StubDuties,
            scope,
            { it() },
            ::now,
            { leader === this },
            { if (leader === this) drawFence() else null },
            ::exchange,
            { wall },
        )
        private val duty = UsageDuty(
            StubDuties,
            windows,
            80.milliseconds,
            machine.usage,
            aggregator,
            scope,
            { it() },
            ::now,
            dutyCalls::send,
            { command, onReply ->
                if (leader === this) apply(command)
                onReply()
            },
            GatewayMetrics(),
            { wall + wallError.inWholeMilliseconds },
        )
        private val duties = LeaderDuties(dutyCalls, duty)

        fun activate() = duties.activate(OrderAuthority("m", drawFence(), now + lease, lease), term)

        fun deactivate() = duties.deactivate()

        fun tick() {
            if (!isFrozen) duties.tick(isActive = leader === this, now)
        }

        /** Ticks as a core does that has not noticed yet that another one leads. */
        fun tickAsLeader() = duties.tick(isActive = true, now)
    }

    private suspend fun exchange(headers: RequestHeaders, body: ByteArray): Int? {
        calls += Call(checkNotNull(headers.get(StubDuties.FENCE)).toLong(), body.decodeToString())
        beforeAnswer()
        return if (answers.isEmpty()) OK else answers.removeFirst()
    }

    private fun apply(command: ServiceCommand): ServiceAnswer =
        StateCodec.decode(machine.apply(++index, wall, StateCodec.encode(command)))

    private fun drawFence(): FencingToken = (apply(ServiceCommand.DrawFence("m")) as ServiceAnswer.Fence).token

    /** Makes [core] the leader of a new term. */
    fun lead(core: Core) {
        leader?.takeIf { !it.isFrozen }?.deactivate()
        term++
        leader = core
        core.activate()
    }

    /** Leaves the group without a leader. */
    fun loseLeader() {
        leader?.deactivate()
        leader = null
    }

    /** Passes [duration], in which each entry counts [perSecond] requests a second. */
    fun pass(duration: Duration, perSecond: Int = 0) {
        val end = now + duration
        while (now < end) {
            now += TICK
            if ((now - Moment.ZERO).inWholeMilliseconds % 1_000 == 0L) {
                entries.forEach { entry -> repeat(perSecond) { entry.counter.add(WORKSPACE, wall) } }
                entries.forEach { it.report() }
            }
            leader?.tick()
        }
    }

    companion object {
        const val START = 1_767_225_600_000L
        val TICK = 100.milliseconds
        val WORKSPACE = WorkspaceName("a")
        private const val OK = 200
    }
}
