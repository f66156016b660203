package org.zinniahoist.policy.live

import org.junit.jupiter.api.Test
import org.zinniahoist.model.Moment
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.WorkspaceName
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Tests single decisions; [LiveAdmissionLoadTest] tests whole loads. */
class AdaptiveAdmissionTest {
    private val admission = AdaptiveAdmission()
    private var now = Moment.ZERO
    private var capacity = ServiceCapacity(upstreams = 2, slots = 4)

    private fun request(priority: Int = 0, workspace: String? = null, target: Duration = 200.milliseconds) =
        LiveRequest(SERVICE, priority, workspace?.let(::WorkspaceName), target, now + target)

    private fun arrive(request: LiveRequest = request()) = admission.onArrival(request, capacity, now)

    private fun admitted(): LiveRequest = request().also {
        expectThat(arrive(it)).isA<AdmissionDecision.Admitted>()
        admission.onAttempt(it)
    }

    private fun end(request: LiveRequest, outcome: AttemptOutcome, started: Moment): List<LiveRequest> {
        val first = admission.onAttemptEnded(request, outcome, started, now)
        return first + admission.onLeft(request, now)
    }

    private fun figures() = admission.figures().getValue(SERVICE)

    /** Guards against a congestion that halves the limit once for each request in flight. */
    @Test
    fun `the refusals of one congestion halve the limit once`() {
        capacity = ServiceCapacity(upstreams = 2, slots = 16)
        val requests = List(16) { admitted() }
        val started = now
        now += 5.milliseconds
        requests.forEach { end(it, AttemptOutcome.REFUSED, started) }
        expectThat(figures().limit).isEqualTo(8)
        for (limit in listOf(4, 2, 2)) {
            val next = admitted()
            val startedLater = now
            now += 5.milliseconds
            end(next, AttemptOutcome.REFUSED, startedLater)
            expectThat(figures().limit).isEqualTo(limit)
        }
    }

    /** Guards against a limit that stays low after a congestion, or that grows without bound in calm. */
    @Test
    fun `answers within the target raise the limit to its bound, later ones halve it`() {
        repeat(20) {
            val request = admitted()
            val started = now
            now += 30.milliseconds
            end(request, AttemptOutcome.ANSWERED, started)
        }
        expectThat(figures().limit).isEqualTo(8)
        val late = admitted()
        val started = now
        now += 201.milliseconds
        end(late, AttemptOutcome.ANSWERED, started)
        expectThat(figures().limit).isEqualTo(4)
    }

    /** Guards against a waiting request that is overtaken by a lower priority or by a workspace that has more. */
    @Test
    fun `places go by priority, then to the workspace with the fewest, then by arrival`() {
        val running = List(4) { request(workspace = "north").also { arrive(it) } }
        val low = request(priority = 1, workspace = "south")
        val many = request(workspace = "north")
        val few = request(workspace = "south")
        val fewLater = request(workspace = "south")
        listOf(low, many, few, fewLater).forEach { expectThat(arrive(it)).isA<AdmissionDecision.Waiting>() }
        val order = ArrayList<LiveRequest>()
        for (request in running) order += admission.onLeft(request, now)
        expectThat(order).containsExactly(few, fewLater, many, low)
    }

    /** Guards against hedges that exceed the limit unnoticed, or that keep their places after their request. */
    @Test
    fun `attempts beyond the first take places without waiting and return them`() {
        val request = admitted()
        repeat(2) { admission.onAttempt(request) }
        expectThat(figures().inFlight).isEqualTo(3)
        admission.onAttemptEnded(request, AttemptOutcome.OTHER, now, now)
        expectThat(figures().inFlight).isEqualTo(2)
        admission.onLeft(request, now)
        admission.onAttemptEnded(request, AttemptOutcome.OTHER, now, now)
        expectThat(figures().inFlight).isEqualTo(0)
    }

    /** Guards against places that clients hold after they have gone, and against a place for a client that is gone. */
    @Test
    fun `a request that leaves gives its place or its turn back`() {
        val running = List(4) { admitted() }
        val gone = request().also { arrive(it) }
        val next = request().also { arrive(it) }
        expectThat(admission.onLeft(gone, now)).isEqualTo(emptyList())
        expectThat(admission.onLeft(running[0], now)).containsExactly(next)
        expectThat(figures()).isEqualTo(AdmissionFigures(limit = 4, inFlight = 4, waiting = 0))
    }

    /** Guards against a request that is held while all upstreams hang, until nobody wants its response. */
    @Test
    fun `while no upstream answers, a request waits for half of its target at most and later ones are refused`() {
        repeat(4) { admitted() }
        val waiting = request()
        val decision = arrive(waiting)
        expectThat(decision).isEqualTo(AdmissionDecision.Waiting(now + 100.milliseconds))
        now += 500.milliseconds
        expectThat(admission.onWaitEnded(waiting, now)).isA<AdmissionDecision.Refused>()
        expectThat(arrive()).isA<AdmissionDecision.Refused>()
        expectThat(figures().waiting).isEqualTo(0)
    }

    /** Guards against refusing a request that got its place at the moment at which its wait ended. */
    @Test
    fun `a request that was admitted while its wait ended stays admitted`() {
        val running = List(4) { admitted() }
        val waiting = request().also { arrive(it) }
        admission.onLeft(running[0], now)
        expectThat(admission.onWaitEnded(waiting, now)).isA<AdmissionDecision.Admitted>()
    }

    /** Guards against refused clients that all return at one moment and are refused together again. */
    @Test
    fun `refused requests are told later places one after the other`() {
        val refused = List(60) { arrive() }.filterIsInstance<AdmissionDecision.Refused>().map { it.expectedWait }
        val steps = refused.zipWithNext { first, second -> second - first }
        expectThat(steps.min()).isGreaterThan(Duration.ZERO)
        expectThat(refused.last()).isLessThanOrEqualTo(1500.milliseconds)
    }

    /** Guards against a service whose upstreams are all gone, for which requests wait in vain. */
    @Test
    fun `without an upstream nothing waits`() {
        repeat(20) {
            expectThat(admission.onArrival(request(), ServiceCapacity(0, 0), now))
                .isA<AdmissionDecision.Admitted>()
        }
    }

    private companion object {
        val SERVICE = ServiceName("cases")
    }
}
