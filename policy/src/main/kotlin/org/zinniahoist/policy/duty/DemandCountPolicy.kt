package org.zinniahoist.policy.duty

import org.zinniahoist.model.Moment
import org.zinniahoist.model.ServiceName
import kotlin.math.ceil
import kotlin.time.Duration.Companion.seconds

/**
 * Orders as many upstreams as the demand needs: more of them at once, fewer only after the demand has been lower for
 * [LOWERING_DELAY].
 */
public class DemandCountPolicy : UpstreamCountPolicy {
    private val states = HashMap<ServiceName, State>()

    override fun orders(services: List<ScaledService>, now: Moment): List<CountOrder> {
        states.keys.retainAll(services.mapTo(HashSet()) { it.service })
        return services.filter { it.counts.isNotEmpty() }.flatMap { service ->
            ordersOf(service, states.getOrPut(service.service) { State(now) }, now)
        }
    }

    override fun onAnswered(order: CountOrder, now: Moment) {
        states[order.service]?.let { it.ordered[order.failureDomain] = Ordered(order.count, now) }
    }

    override fun clear(): Unit = states.clear()

    private fun ordersOf(service: ScaledService, state: State, now: Moment): List<CountOrder> {
        // An order is in effect once the list shows its count; until then its count stands for the listed one.
        state.ordered.entries.removeIf { (domain, ordered) -> (service.counts[domain] ?: 0) == ordered.count }
        val expected = service.counts + state.ordered.mapValues { (_, ordered) -> ordered.count }
        // A failure domain without any upstream would no longer be listed, and get none again.
        val allowed = maxOf(service.bounds.minimum, 1)..maxOf(service.bounds.maximum, 1)
        val target = targetOf(service, expected.values.sumOf { it.coerceIn(allowed) }, state, now)
        return split(expected, target, allowed)
            .filter { (domain, count) -> count != expected[domain] || state.ordered[domain].isRepeatDue(now) }
            .map { (domain, count) -> CountOrder(service.service, domain, count) }
    }

    /** Returns the number of upstreams of [service] that are wanted, out of the [total] expected ones. */
    private fun targetOf(
        service: ScaledService,
        total: Int,
        state: State,
        now: Moment,
    ): Int {
        val wanted = service.wantedSlots?.let {
            ceil(it / service.slotsPerUpstream).coerceAtMost(MAXIMUM_COUNT).toInt()
        }
        state.samples.addLast(Sample(wanted ?: total, now))
        while (now - state.samples.first().at > LOWERING_DELAY) state.samples.removeFirst()
        val highest = state.samples.maxOf { it.count }
        val mayLower = now - state.since >= LOWERING_DELAY
        return if (mayLower) highest else maxOf(highest, total)
    }

    private fun Ordered?.isRepeatDue(now: Moment): Boolean = this != null && now - at >= REPEAT_INTERVAL

    /**
     * Returns [counts] within the [allowed] ones, changed one by one to the sum [target] in proportion to what they
     * are, as far as that is allowed.
     */
    private fun split(counts: Map<String, Int>, target: Int, allowed: IntRange): Map<String, Int> {
        val result = counts.mapValues { (_, count) -> count.coerceIn(allowed) }.toSortedMap()
        val total = counts.values.sum()
        val excess = { domain: String -> result.getValue(domain) - target.toDouble() * counts.getValue(domain) / total }
        while (result.values.sum() < target) {
            val domain = result.keys.filter { result.getValue(it) < allowed.last }.minByOrNull(excess) ?: break
            result.merge(domain, 1, Int::plus)
        }
        while (result.values.sum() > target) {
            val domain = result.keys.filter { result.getValue(it) > allowed.first }.maxByOrNull(excess) ?: break
            result.merge(domain, -1, Int::plus)
        }
        return result
    }

    private class Sample(
        val count: Int,
        val at: Moment,
    )

    private class Ordered(
        val count: Int,
        val at: Moment,
    )

    private class State(val since: Moment) {
        val samples = ArrayDeque<Sample>()

        /** Orders whose effect the list does not show yet, by failure domain. */
        val ordered = HashMap<String, Ordered>()
    }

    private companion object {
        /** A pause between two batches of a trainer must not stop upstreams that the next one needs. */
        val LOWERING_DELAY = 15.seconds
        val REPEAT_INTERVAL = 10.seconds

        /** Bounds the time of a decision for a service whose bounds allow any number. */
        const val MAXIMUM_COUNT = 1e4
    }
}
