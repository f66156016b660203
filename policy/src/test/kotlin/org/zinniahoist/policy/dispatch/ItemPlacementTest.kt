package org.zinniahoist.policy.dispatch

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.zinniahoist.model.Moment
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.policy.dispatch.DispatchFixture.START
import org.zinniahoist.policy.dispatch.DispatchFixture.item
import org.zinniahoist.policy.dispatch.DispatchFixture.starts
import org.zinniahoist.policy.dispatch.DispatchFixture.upstream
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isNotNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests that an item whose runs broke is retried soon after an upstream can run it. */
internal class ItemPlacementTest {
    private val dispatcher = ItemDispatcher()
    private val registry get() = dispatcher.registry

    /** Starts the only item and breaks its run without an event, [times] times. Returns the time of the last break. */
    private fun breakRuns(times: Int): Moment {
        var now = START
        repeat(times) {
            val (run, at) = checkNotNull(dispatcher.nextStart(now, limit = 20.seconds)) { "crash $it: not started" }
            now = at
            dispatcher.onEnd(run.run, RunEnd.Broken("reset"), now)
        }
        return now
    }

    @Nested
    inner class `The last upstream of an item` {
        /** Guards against an item that is never retried because the other upstreams lack its weights. */
        @Test
        fun `is used again when the others lack the weights`() {
            registry.relist(listOf(upstream("a", version = 2), upstream("b", version = 1)))
            dispatcher.submit(listOf(item("x", minimum = 2)))
            val now = breakRuns(times = 1)
            expectThat(dispatcher.nextStart(now, BOUND)?.first?.upstream?.identity).isEqualTo(UpstreamIdentity("a"))
        }

        /** Guards against an item that waits for a slot on another upstream while its last one has a free slot. */
        @Test
        fun `is used again when the others have no free slot`() {
            registry.relist(listOf(upstream("a", slots = 1), upstream("b", slots = 0)))
            dispatcher.submit(listOf(item("x")))
            val now = breakRuns(times = 1)
            expectThat(dispatcher.nextStart(now, BOUND)).isNotNull()
        }

        /** Guards against an item that waits for the end of a load on another upstream. */
        @Test
        fun `is used again when the others load weights`() {
            registry.relist(listOf(upstream("a"), upstream("b")))
            registry.tracked(UpstreamIdentity("b"))?.isLoading = true
            dispatcher.submit(listOf(item("x")))
            val now = breakRuns(times = 1)
            expectThat(dispatcher.nextStart(now, BOUND)).isNotNull()
        }

        /** Guards against repeated retries on an upstream that is preferred because its refusals keep it empty. */
        @Test
        fun `is the last choice after it refused the item`() {
            registry.relist(listOf(upstream("a", slots = 4), upstream("b", slots = 6), upstream("c", slots = 8)))
            dispatcher.submit(listOf(item("x")))
            val refusing = HashSet<UpstreamIdentity>()
            var now = START
            repeat(3) {
                val (run, at) = checkNotNull(dispatcher.nextStart(now, BOUND))
                refusing += run.upstream.identity
                dispatcher.onEnd(run.run, RunEnd.NotRun, at)
                now = at
            }
            expectThat(refusing.size).isEqualTo(3)
        }

        /** Guards against moving a slow stream to the upstream on which it already runs. */
        @Test
        fun `is not the target of a move`() {
            registry.relist(listOf(upstream("a"), upstream("b", slots = 9), upstream("c", slots = 9)))
            listOf("b", "c").forEach { registry.onEventInterval(UpstreamIdentity(it), 10.milliseconds) }
            registry.onEventInterval(UpstreamIdentity("a"), 11.milliseconds)
            dispatcher.submit(listOf(item("x")))
            val run = starts(dispatcher.tick(START)).single()
            dispatcher.onBegin(run.run, WeightVersion(1), START)
            (1L..4L).forEach { dispatcher.onEvent(run.run, it, "e", null, START + (400 * it).milliseconds) }
            listOf("b", "c").forEach { registry.onFailure(UpstreamIdentity(it), START + 1_600.milliseconds) }
            expectThat(dispatcher.tick(START + 1_650.milliseconds)).isEmpty()
        }
    }

    @Nested
    inner class `After a burst of crashes` {
        /** Guards against an item that is not retried after its runs crashed several upstreams. */
        @Test
        fun `a valid item runs within the bound`() {
            registry.relist((1..6).map { upstream("u$it") })
            dispatcher.submit(listOf(item("x")))
            val lastBreak = breakRuns(times = 6)
            expectThat(dispatcher.nextStart(lastBreak, BOUND)).isNotNull()
        }

        /** Guards against the same failure when restarted upstreams have new identities and one has no slots. */
        @Test
        fun `a valid item runs on the restarted upstreams`() {
            registry.relist((1..3).map { upstream("u$it") })
            dispatcher.submit(listOf(item("x")))
            val lastBreak = breakRuns(times = 4)
            registry.relist(listOf(upstream("v1"), upstream("v2", slots = 0)))
            expectThat(dispatcher.nextStart(lastBreak, BOUND)).isNotNull()
        }

        /** Guards against a long suspension of the only upstream. */
        @Test
        fun `the only upstream is retried within the bound`() {
            registry.relist(listOf(upstream("a")))
            dispatcher.submit(listOf(item("x")))
            val lastBreak = breakRuns(times = 8)
            expectThat(dispatcher.nextStart(lastBreak, BOUND)).isNotNull()
        }

        /** Guards against a stall that leaves the item without an upstream for longer than the platform allows. */
        @Test
        fun `an item whose last run stalls is retried within the bound`() {
            registry.relist(listOf(upstream("a")))
            dispatcher.submit(listOf(item("x")))
            val (_, stalledFrom) = checkNotNull(dispatcher.nextStart(breakRuns(times = 6), limit = 20.seconds))
            expectThat(dispatcher.nextStart(stalledFrom + DispatchFixture.TICK, BOUND)).isNotNull()
        }

        /** Guards against an item that finishes with an error although no upstream reported a failure. */
        @Test
        fun `the item has no result before its deadline`() {
            registry.relist(listOf(upstream("a"), upstream("b")))
            dispatcher.submit(listOf(item("x", maximumFailures = 1)))
            breakRuns(times = 12)
            expectThat(dispatcher.waitReport(item("x").key, START)).isNotNull()
        }
    }

    /** Guards against an item that crashes each upstream as soon as it has restarted. */
    @Test
    fun `an item that crashes each upstream is retried about once a second`() {
        registry.relist((1..50).map { upstream("u$it") })
        dispatcher.submit(listOf(item("x", giveUpAfter = 200.seconds)))
        val elapsed = breakRuns(times = 20) - START
        expectThat(elapsed).isGreaterThanOrEqualTo(15.seconds)
    }

    private companion object {
        /** The platform allows 5 s without an upstream in steady state; 1 s of it is reserved for the first event. */
        val BOUND = 4.seconds
    }
}
