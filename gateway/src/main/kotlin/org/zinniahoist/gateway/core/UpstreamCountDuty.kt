package org.zinniahoist.gateway.core

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.zinniahoist.gateway.dialect.DutyCall
import org.zinniahoist.gateway.dialect.DutyDialect
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.model.Moment
import org.zinniahoist.policy.duty.CountOrder
import org.zinniahoist.policy.duty.DutyAnswer
import org.zinniahoist.policy.duty.ScaledService
import org.zinniahoist.policy.duty.UpstreamCountPolicy
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Orders the number of upstreams from the platform. All functions run on the engine thread. */
internal class UpstreamCountDuty(
    private val dialect: DutyDialect,
    private val policy: UpstreamCountPolicy,
    private val services: (Moment) -> List<ScaledService>,
    private val callInterval: Duration,
    private val scope: CoroutineScope,
    private val post: (() -> Unit) -> Unit,
    private val clock: () -> Moment,
    private val send: suspend (OrderAuthority, DutyCall) -> DutyAnswer,
    private val metrics: GatewayMetrics,
) {
    private var nextDecision = Moment(Long.MIN_VALUE)
    private var isCalling = false

    /** Prepares to lead in a new term. */
    fun activate(): Unit = policy.clear()

    /** Gives the orders that are due under [grant]. */
    fun tick(grant: OrderAuthority) {
        val now = clock()
        if (isCalling || now < nextDecision) return
        nextDecision = now + DECISION_INTERVAL
        val orders = policy.orders(services(now), now)
        if (orders.isEmpty()) return
        isCalling = true
        scope.launch {
            try {
                giveInOrder(grant, orders)
            } finally {
                post { isCalling = false }
            }
        }
    }

    /** Ends at the first order without a definite answer; the next decision follows within a second. */
    private suspend fun giveInOrder(grant: OrderAuthority, orders: List<CountOrder>) {
        for (order in orders) {
            val answer = send(grant, dialect.upstreamCount(order))
            metrics.onEvent("upstream_count", answer.name.lowercase())
            logger.info {
                "event=upstream-count-ordered service=${order.service} domain=${order.failureDomain} " +
                    "count=${order.count} fence=${grant.fence} answer=$answer"
            }
            if (answer != DutyAnswer.ACCEPTED && answer != DutyAnswer.REFUSED) return
            post { policy.onAnswered(order, clock()) }
            delay(callInterval)
        }
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        val DECISION_INTERVAL = 1.seconds
    }
}
