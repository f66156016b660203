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

/** An item under which upstreams crashed is still owed: it starts again soon once an upstream can run it. */
internal class ItemPlacementTest {
    private val dispatcher = ItemDispatcher()
    private val board get() = dispatcher.board

    /** Starts the only item and breaks its run without an event, [times] in a row. Returns the moment of the last. */
    private fun crash(times: Int): Moment {
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
        /** Guards against an item that is never placed again because the other upstreams lack its weights. */
        @Test
        fun `is used again when the others lack the weights`() {
            board.relist(listOf(upstream("a", version = 2), upstream("b", version = 1)))
            dispatcher.submit(listOf(item("x", minimum = 2)))
            val now = crash(times = 1)
            expectThat(dispatcher.nextStart(now, WITHIN)?.first?.upstream?.identity).isEqualTo(UpstreamIdentity("a"))
        }

        /** Guards against an item that waits for a place elsewhere while its last upstream has one. */
        @Test
        fun `is used again when the others have no place`() {
            board.relist(listOf(upstream("a", slots = 1), upstream("b", slots = 0)))
            dispatcher.submit(listOf(item("x")))
            val now = crash(times = 1)
            expectThat(dispatcher.nextStart(now, WITHIN)).isNotNull()
        }

        /** Guards against an item that waits for the end of a load elsewhere. */
        @Test
        fun `is used again when the others load weights`() {
            board.relist(listOf(upstream("a"), upstream("b")))
            board.tracked(UpstreamIdentity("b"))?.isLoading = true
            dispatcher.submit(listOf(item("x")))
            val now = crash(times = 1)
            expectThat(dispatcher.nextStart(now, WITHIN)).isNotNull()
        }

        /** Guards against an item that goes again and again to an upstream that refuses it, as that one stays empty. */
        @Test
        fun `comes after the others when it refused the item`() {
            board.relist(listOf(upstream("a", slots = 4), upstream("b", slots = 6), upstream("c", slots = 8)))
            dispatcher.submit(listOf(item("x")))
            val refusing = HashSet<UpstreamIdentity>()
            var now = START
            repeat(3) {
                val (run, at) = checkNotNull(dispatcher.nextStart(now, WITHIN))
                refusing += run.upstream.identity
                dispatcher.onEnd(run.run, RunEnd.NotRun, at)
                now = at
            }
            expectThat(refusing.size).isEqualTo(3)
        }

        /** Guards against the move of a slow stream to the upstream on which it already runs. */
        @Test
        fun `is not the target of a move`() {
            board.relist(listOf(upstream("a"), upstream("b", slots = 9), upstream("c", slots = 9)))
            listOf("b", "c").forEach { board.onEventInterval(UpstreamIdentity(it), 10.milliseconds) }
            board.onEventInterval(UpstreamIdentity("a"), 11.milliseconds)
            dispatcher.submit(listOf(item("x")))
            val run = starts(dispatcher.tick(START)).single()
            dispatcher.onBegin(run.run, WeightVersion(1), START)
            (1L..4L).forEach { dispatcher.onEvent(run.run, it, "e", null, START + (400 * it).milliseconds) }
            listOf("b", "c").forEach { board.onFailure(UpstreamIdentity(it), START + 1_600.milliseconds) }
            expectThat(dispatcher.tick(START + 1_650.milliseconds)).isEmpty()
        }
    }

    @Nested
    inner class `After a burst of crashes` {
        /** Guards against an item that is not run again after several upstreams crashed under it. */
        @Test
        fun `a sound item runs within the bound`() {
            board.relist((1..6).map { upstream("u$it") })
            dispatcher.submit(listOf(item("x")))
            val calm = crash(times = 6)
            expectThat(dispatcher.nextStart(calm, WITHIN)).isNotNull()
        }

        /** Guards against the same when all upstreams come back under new identities, empty but for one. */
        @Test
        fun `a sound item runs on the upstreams that came back`() {
            board.relist((1..3).map { upstream("u$it") })
            dispatcher.submit(listOf(item("x")))
            val calm = crash(times = 4)
            board.relist(listOf(upstream("v1"), upstream("v2", slots = 0)))
            expectThat(dispatcher.nextStart(calm, WITHIN)).isNotNull()
        }

        /** Guards against an upstream that no item may try for seconds while it is the only one. */
        @Test
        fun `the only upstream is tried again within the bound`() {
            board.relist(listOf(upstream("a")))
            dispatcher.submit(listOf(item("x")))
            val calm = crash(times = 8)
            expectThat(dispatcher.nextStart(calm, WITHIN)).isNotNull()
        }

        /** Guards against a silent run after which the item is at no upstream for longer than the rules allow. */
        @Test
        fun `an item that stalls last runs within the bound`() {
            board.relist(listOf(upstream("a")))
            dispatcher.submit(listOf(item("x")))
            val (_, silentFrom) = checkNotNull(dispatcher.nextStart(crash(times = 6), limit = 20.seconds))
            expectThat(dispatcher.nextStart(silentFrom + DispatchFixture.TICK, WITHIN)).isNotNull()
        }

        /** Guards against an item that is listed as an error although no upstream said that it failed. */
        @Test
        fun `the item has no result before it may be given up`() {
            board.relist(listOf(upstream("a"), upstream("b")))
            dispatcher.submit(listOf(item("x", maximumFailures = 1)))
            crash(times = 12)
            expectThat(dispatcher.waitReport(item("x").key, START)).isNotNull()
        }
    }

    /** Guards against an item that crashes each upstream and takes all of them down as fast as they come back. */
    @Test
    fun `an item that crashes each upstream is tried about once a second`() {
        board.relist((1..50).map { upstream("u$it") })
        dispatcher.submit(listOf(item("x", giveUpAfter = 200.seconds)))
        val ends = crash(times = 20) - START
        expectThat(ends).isGreaterThanOrEqualTo(15.seconds)
    }

    private companion object {
        /** The rules allow 5 s at no upstream in steady state; a second of it is kept for the run's first event. */
        val WITHIN = 4.seconds
    }
}
