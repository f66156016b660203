package org.zinniahoist.gateway.core

import com.linecorp.armeria.common.HttpMethod
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.zinniahoist.gateway.dialect.PlatformDialect
import org.zinniahoist.gateway.dialect.WeightOrder
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.gateway.upstream.ForwardedFields
import org.zinniahoist.gateway.upstream.UpstreamCalls
import org.zinniahoist.model.FencingToken
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.policy.dispatch.LoadAction
import org.zinniahoist.policy.dispatch.LoadMode
import org.zinniahoist.policy.dispatch.ModelDemand
import org.zinniahoist.policy.dispatch.OrderAnswer
import org.zinniahoist.policy.dispatch.WeightLoader
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Authority to send weight orders, which the leader obtains from the log together with its fencing token. */
internal data class OrderAuthority(
    val holder: String,
    val fence: FencingToken,
    /** Start of validity; an earlier holder may still send orders before this moment. */
    val from: Moment,
    /** Time for which the next holder sends no orders after it has become the leader. */
    val lease: Duration,
)

/** Sends the load orders and report requests that a [WeightLoader] decides. All functions run on the engine thread. */
internal class WeightOrders(
    private val dialect: PlatformDialect,
    private val calls: UpstreamCalls,
    private val loader: WeightLoader,
    private val scope: CoroutineScope,
    private val post: (() -> Unit) -> Unit,
    private val clock: () -> Moment,
    private val confirmLeadership: suspend () -> Boolean,
    private val metrics: GatewayMetrics,
    private val wallMilliseconds: () -> Long = System::currentTimeMillis,
) {
    /** Non-null while this replica is the active leader. */
    @Volatile
    var authority: OrderAuthority? = null

    fun tick(needsSingleVersion: Boolean, demand: (ModelName) -> ModelDemand) {
        val grant = authority ?: return
        val now = clock()
        if (now < grant.from) return
        val mode = if (needsSingleVersion) LoadMode.WAIT else LoadMode.KEEP
        for (action in loader.tick(now, demand) { mode }) {
            when (action) {
                is LoadAction.ReadReport -> scope.launch { readReport(action.upstream) }
                is LoadAction.Order -> scope.launch { order(grant, action) }
            }
        }
    }

    private suspend fun readReport(upstream: ListedUpstream) {
        val askedAt = clock()
        val answer = calls.get(upstream.endpoint, dialect.paths.report, CALL_TIMEOUT)
        val report = answer?.takeIf { it.status == OK }?.let { dialect.report(it.body) }
        logger.debug { "event=report-read upstream=${upstream.identity} report=$report" }
        post { loader.onReport(upstream.identity, report, clock(), askedAt) }
    }

    private suspend fun order(grant: OrderAuthority, action: LoadAction.Order) {
        val upstream = action.upstream
        val askedAt = clock()
        val askedAtWall = wallMilliseconds()
        // A replica that lost leadership unnoticed must not use the old fencing token, even if it leads again.
        val isConfirmed = confirmLeadership() && authority == grant
        val mayOrder = isConfirmed && ageOf(askedAt, askedAtWall) < grant.lease * CONFIRMED_LEASE_SHARE
        val answer = if (mayOrder) send(grant, action) else OrderAnswer.UNKNOWN
        logger.info {
            "event=order-given upstream=${upstream.identity} model=${action.model} version=${action.version} " +
                "mode=${action.mode} fence=${grant.fence} expected-orders=${action.expectedOrders} answer=$answer"
        }
        metrics.onEvent("order", answer.name.lowercase())
        post { loader.onOrderAnswer(upstream.identity, answer, clock()) }
    }

    /**
     * Returns the age of a confirmation, whose round began at the given times of both clocks. The monotonic clock may
     * stand still while the machine is paused; a wall clock that is set forward only withholds the order.
     */
    private fun ageOf(askedAt: Moment, askedAtWall: Long): Duration =
        maxOf(clock() - askedAt, (wallMilliseconds() - askedAtWall).milliseconds)

    private suspend fun send(grant: OrderAuthority, action: LoadAction.Order): OrderAnswer {
        val order = WeightOrder(
            model = action.model,
            version = action.version,
            mode = action.mode,
            holder = grant.holder,
            fence = grant.fence,
            expectedOrders = action.expectedOrders,
        )
        val headers = ForwardedFields.request(HttpMethod.POST, dialect.paths.order)
            .set("content-type", "application/json")
            .set(dialect.headers.expectedUpstream, action.upstream.identity.value)
            .build()
        val answer = calls.wholeOnOwnConnection(action.upstream.endpoint, headers, dialect.order(order), CALL_TIMEOUT)
        return when (answer?.status) {
            ACCEPTED -> OrderAnswer.ACCEPTED
            OK -> OrderAnswer.HOLDS_ALREADY
            CONFLICT -> OrderAnswer.CONFLICT
            PRECONDITION_FAILED -> OrderAnswer.STALE_FENCE
            null -> OrderAnswer.UNKNOWN
            else -> OrderAnswer.CONFLICT
        }
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        val CALL_TIMEOUT = 800.milliseconds

        /** Share of the lease within which a confirmed leader begins to send; the rest is for the order to arrive. */
        const val CONFIRMED_LEASE_SHARE = 0.5
        const val OK = 200
        const val ACCEPTED = 202
        const val CONFLICT = 409
        const val PRECONDITION_FAILED = 412
    }
}
