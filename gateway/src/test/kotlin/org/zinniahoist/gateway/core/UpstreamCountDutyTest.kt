package org.zinniahoist.gateway.core

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import org.junit.jupiter.api.Test
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.model.FencingToken
import org.zinniahoist.model.Moment
import org.zinniahoist.model.ServiceName
import org.zinniahoist.policy.duty.DemandCountPolicy
import org.zinniahoist.policy.duty.DutyAnswer
import org.zinniahoist.policy.duty.ScaledService
import org.zinniahoist.policy.routes.ScalingBounds
import strikt.api.expectThat
import strikt.assertions.containsExactly
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class UpstreamCountDutyTest {
    private var now = Moment.ZERO
    private val sent = ArrayList<String>()
    private val answers = ArrayDeque<DutyAnswer>()
    private val grant = OrderAuthority("m", FencingToken(1), from = Moment.ZERO, lease = 3.seconds)
    private val duty = UpstreamCountDuty(
        StubDuties,
        DemandCountPolicy(),
        { listOf(ScaledService(ServiceName("s"), ScalingBounds(1, 9), 32.0, mapOf("a" to 2, "b" to 2), 4.0)) },
        callInterval = Duration.ZERO,
        CoroutineScope(Dispatchers.Unconfined),
        { it() },
        { now },
        { _, call ->
            sent += call.body.decodeToString()
            answers.removeFirstOrNull() ?: DutyAnswer.ACCEPTED
        },
        GatewayMetrics(),
    )

    private fun pass(duration: Duration) {
        val end = now + duration
        while (now < end) {
            now += 100.milliseconds
            duty.tick(grant)
        }
    }

    /** Guards against an order that is lost with its answer, and against calls that burden a platform in trouble. */
    @Test
    fun `after a call without an answer the orders are decided anew`() {
        answers += listOf(DutyAnswer.UNKNOWN, DutyAnswer.THROTTLED)
        pass(900.milliseconds)
        expectThat(sent).containsExactly("s a 4")
        pass(2.seconds)
        expectThat(sent).containsExactly("s a 4", "s a 4", "s a 4", "s b 4")
        pass(7.seconds)
        expectThat(sent).containsExactly("s a 4", "s a 4", "s a 4", "s b 4")
    }
}
