package org.zinniahoist.policy.routing

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Region
import org.zinniahoist.policy.routing.RoutingDecision.Routed
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEqualTo
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EstimatedWaitRouterTest {
    private val local = FailureDomain("a", Region("north"))
    private val regional = FailureDomain("b", Region("north"))
    private val remote = FailureDomain("c", Region("south"))
    private val random = Random(7)
    private val start = Moment.ZERO
    private val router = EstimatedWaitRouter(local)

    private fun name(index: Int, domain: FailureDomain = local) = InstanceName("${domain.name}$index")

    private fun add(count: Int, domain: FailureDomain = local) = repeat(count) { router.add(name(it, domain), domain) }

    private fun routed(request: RoutingRequest = RoutingRequest(), now: Moment = start): InstanceName =
        (router.route(request, now, random) as Routed).instance

    private fun digest(waiting: Int) = LoadDigest(running = 8, waiting, concurrencyLimit = 8, 1_000.0)

    @Nested
    inner class LocalityPreference {
        /** Guards against cross-domain traffic while the local failure domain has capacity. */
        @Test
        fun `prefers the local failure domain, then the region, then other regions`() {
            add(2)
            add(2, regional)
            add(2, remote)

            expectThat(List(50) { routed() }.toSet()).isEqualTo(setOf(name(0), name(1)))
            router.onReport(name(0), digest(waiting = 40), start)
            router.onReport(name(1), digest(waiting = 40), start)
            expectThat(List(50) { routed() }.toSet()).isEqualTo(setOf(name(0, regional), name(1, regional)))
            repeat(2) { router.setAvailable(name(it, regional), false) }
            expectThat(List(50) { routed() }.toSet()).isEqualTo(setOf(name(0, remote), name(1, remote)))
        }

        /** Guards against routing to a draining upstream, or to one that an earlier attempt of the request used. */
        @Test
        fun `does not route to unavailable or excluded upstreams`() {
            add(3)
            router.setAvailable(name(0), false)

            val excluded = RoutingRequest(excluded = setOf(name(1)))
            expectThat(List(50) { routed(excluded) }.toSet()).containsExactly(name(2))
            router.setAvailable(name(2), false)
            expectThat(router.route(excluded, start, random)).isA<RoutingDecision.NoUpstream>()
        }
    }

    @Nested
    inner class LoadReports {
        /** Guards against a thundering herd on the upstream that was idle in its last report. */
        @Test
        fun `distribute attempts over all upstreams between two reports`() {
            add(10)
            repeat(9) { router.onReport(name(it), digest(waiting = 8), start) }
            router.onReport(name(9), LoadDigest(0, 0, concurrencyLimit = 8, 1_000.0), start)

            val counts = List(200) { routed().also(router::onStart) }.groupingBy { it }.eachCount()
            expectThat(counts).hasSize(10)
            expectThat(counts.values.max()).isLessThanOrEqualTo(40)
        }

        /** Guards against routing decisions based on a stale load report. */
        @Test
        fun `lose weight with age`() {
            add(2)
            repeat(200) { router.onReport(name(1), digest(waiting = 0), start) }
            router.onReport(name(0), digest(waiting = 30), start)
            val fresh = List(100) { routed() }.count { it == name(0) }
            repeat(12) { router.onStart(name(1)) }
            val stale = List(100) { routed(now = start + 60.seconds) }.count { it == name(0) }

            expectThat(fresh).isEqualTo(0)
            expectThat(stale).isEqualTo(100)
        }
    }

    @Nested
    inner class PrefixAffinity {
        private val request = RoutingRequest(prefixHash = 42, prefillSaving = 300.milliseconds)

        /** Guards against samples of one group that prefill the same prompt on several upstreams. */
        @Test
        fun `routes the samples of a group to one upstream`() {
            add(32)

            expectThat(List(8) { routed(request).also(router::onStart) }.toSet()).hasSize(1)
        }

        /** Guards against a sample that becomes a straggler because affinity routes it to a loaded upstream. */
        @Test
        fun `is overridden if the upstreams with the prefix would delay the sample`() {
            add(32)
            val prefixHolder = routed(request)
            router.onReport(prefixHolder, digest(waiting = 20), start)

            expectThat(routed(request)).isNotEqualTo(prefixHolder)
        }
    }

    @Nested
    inner class Ejection {
        private fun fail(instance: InstanceName, now: Moment = start) =
            repeat(5) { router.onEnd(instance, AttemptOutcome.FAILED, now) }

        /** Guards against ejections that turn a partial outage into a full one. */
        @Test
        fun `ejects at most one third of the upstreams`() {
            add(9)
            repeat(9) { fail(name(it)) }

            expectThat(List(500) { routed() }.toSet()).hasSize(6)
            repeat(6) { router.remove(name(8 - it)) }
            expectThat(List(500) { routed() }.toSet().size).isGreaterThan(1)
        }

        /** Guards against an upstream that stays ejected after it recovered. */
        @Test
        fun `ends after a duration that doubles with each ejection`() {
            add(4)
            fail(name(0))

            expectThat(List(200) { routed(now = start + 9.seconds) }.toSet()).hasSize(3)
            expectThat(List(200) { routed(now = start + 10.seconds) }.toSet()).hasSize(4)
            router.onEnd(name(0), AttemptOutcome.FAILED, start + 10.seconds)
            expectThat(List(200) { routed(now = start + 29.seconds) }.toSet()).hasSize(3)
        }
    }

    @Nested
    inner class Subsets {
        private val entries = List(26) { Member(InstanceName("entry$it"), local) }
        private val upstreams = List(320) { Member(name(it), local) }
        private val selector = BalancedSubsetSelector(SubsetSizes(failureDomain = 32))

        private fun links(upstreams: List<Member>, selector: SubsetSelector = this.selector) =
            entries.flatMap { entry -> selector.select(entry, entries, upstreams).map { entry to it } }.toSet()

        private fun entryCountSpread(selector: SubsetSelector): Int =
            links(upstreams, selector).groupingBy { it.second }.eachCount().values.let { it.max() - it.min() }

        /** Guards against upstreams that are in the subsets of many entries while others are in none. */
        @Test
        fun `contain each upstream about equally often`() {
            expectThat(entryCountSpread(selector)).isLessThanOrEqualTo(2)
            expectThat(entryCountSpread(RendezvousSubsetSelector(SubsetSizes(failureDomain = 32)))).isGreaterThan(4)
        }

        /** Guards against a membership change of one upstream that makes all entries reconnect. */
        @Test
        fun `change few links when an upstream is removed`() {
            val before = links(upstreams)
            val after = links(upstreams.drop(1))

            expectThat((before - after).size).isLessThan(before.size / 20)
        }
    }
}
