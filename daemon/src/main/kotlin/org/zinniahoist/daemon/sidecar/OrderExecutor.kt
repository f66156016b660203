package org.zinniahoist.daemon.sidecar

import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.serialization.SerializationException
import org.zinniahoist.daemon.control.ControlClient
import org.zinniahoist.daemon.control.ControlResult
import org.zinniahoist.daemon.timeline.EventRecorder
import org.zinniahoist.daemon.timeline.record
import org.zinniahoist.model.FencingToken
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import org.zinniahoist.state.StateCodec
import org.zinniahoist.state.coordination.CoordinationAnswer
import org.zinniahoist.state.coordination.CoordinationQuery
import org.zinniahoist.state.coordination.FencedOrder
import org.zinniahoist.state.coordination.Order
import java.util.TreeMap
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Passes committed orders to the engine in the order of their fencing tokens.
 *
 * An order below the largest token seen is refused here, as some engines ignore tokens.
 */
internal class OrderExecutor(
    private val instance: InstanceName,
    private val control: ControlClient,
    private val engine: EngineControl,
    private val state: UpstreamState,
    private val events: EventRecorder,
    private val clock: () -> Moment,
) {
    private val mutex = Mutex()
    private val accepted = TreeMap<FencingToken, AcceptedOrder>()
    private val restarted = AtomicBoolean(false)
    private var largestSeen = NO_TOKEN
    private var largestSent = NO_TOKEN

    /** Whether the committed orders were read since the sidecar started. */
    @Volatile
    var isRead: Boolean = !state.isEngine
        private set

    /** Reads the committed orders and applies those that are new or have to be repeated. */
    suspend fun read() {
        if (!state.isEngine) return
        val query = StateCodec.encode<CoordinationQuery>(CoordinationQuery.ReadOrders(instance))
        val result = control.query(SETTINGS_GROUP, query)
        val answer = (result as? ControlResult.Answered)?.let { StateCodec.decode<CoordinationAnswer>(it.content) }
        if (answer !is CoordinationAnswer.Orders) return
        mutex.withLock {
            answer.orders.sortedBy(FencedOrder::token).forEach(::accept)
            isRead = true
            applyPending()
        }
    }

    /** Applies orders that a control replica sent. */
    suspend fun offer(content: ByteArray) {
        val orders = try {
            StateCodec.decode<List<FencedOrder>>(content)
        } catch (failure: SerializationException) {
            events.record("orders-damaged", "cause" to failure.message)
            return
        }
        // Until the linearizable read, the largest committed token is unknown and any order could be stale.
        if (!isRead || !state.isEngine) return
        mutex.withLock {
            orders.sortedBy(FencedOrder::token).forEach(::accept)
            applyPending()
        }
    }

    /** The engine started again and has forgotten what it was told. */
    fun onRestart(): Unit = restarted.set(true)

    private fun accept(order: FencedOrder) {
        if (order.token in accepted) return
        if (order.token <= largestSeen) {
            events.record("order-refused", "token" to order.token, "largest" to largestSeen)
            return
        }
        largestSeen = order.token
        accepted.values.removeIf { it.order.order.isSameKindAs(order.order) }
        accepted[order.token] = AcceptedOrder(order)
    }

    private suspend fun applyPending() {
        if (restarted.getAndSet(false)) {
            largestSent = NO_TOKEN
            accepted.values.forEach { it.isSettled = false }
        }
        accepted.values.filter { !it.isSettled && it.order.token >= largestSent }.forEach { apply(it) }
    }

    private suspend fun apply(pending: AcceptedOrder) {
        val (token, order) = pending.order
        largestSent = token
        val result = engine.send(pending.order)
        events.record("order-sent", "token" to token, "order" to order, "result" to result)
        when (result) {
            is OrderResult.Applied -> {
                pending.isSettled = true
                if (order is Order.LoadVersion) state.onOrderAnswered(result.version ?: order.version, clock())
            }

            is OrderResult.Failed -> if (order is Order.LoadVersion) state.onOrderAnswered(result.version, clock())
            OrderResult.StaleToken -> pending.isSettled = true
            OrderResult.Unreachable -> Unit
        }
    }

    private fun Order.isSameKindAs(other: Order): Boolean = when (this) {
        is Order.LoadVersion -> other is Order.LoadVersion && other.model == model
        is Order.LoadAdapter -> other is Order.LoadAdapter && other.model == model && other.adapter == adapter
        is Order.ChangeRole -> other is Order.ChangeRole
    }

    private class AcceptedOrder(
        val order: FencedOrder,
        var isSettled: Boolean = false,
    )

    private companion object {
        const val SETTINGS_GROUP = "settings"
        val NO_TOKEN = FencingToken(Long.MIN_VALUE)
    }
}
