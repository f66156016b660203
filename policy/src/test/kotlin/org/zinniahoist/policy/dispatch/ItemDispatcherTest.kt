package org.zinniahoist.policy.dispatch

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.model.WeightVersion
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class ItemDispatcherTest {
    private val service = ServiceName("drafts")
    private val model = ModelName("m")
    private val start = Moment(0)
    private val dispatcher = ItemDispatcher()

    private fun upstream(
        name: String,
        slots: Int = 2,
        version: Long = 1,
        isLeaving: Boolean = false,
    ) = ListedUpstream(
        identity = UpstreamIdentity(name),
        service = service,
        endpoint = Endpoint("127.0.0.1", 80),
        failureDomain = "a",
        slots = slots,
        isLeaving = isLeaving,
        versions = mapOf(model to WeightVersion(version)),
    )

    private fun item(
        name: String,
        minimum: Long = 1,
        single: Boolean = false,
        expected: Int = 0,
    ) = ItemWork(
        key = ItemKey("job", RequestIdentifier(name)),
        service = service,
        dueAt = start + 7.seconds,
        giveUpAt = start + 40.seconds,
        maximumFailures = 3,
        expectedTokens = expected,
        terms = DraftTerms(model, WeightVersion(minimum), single),
    )

    private fun starts(actions: List<DispatchAction>) = actions.filterIsInstance<DispatchAction.Start>()

    private fun begin(now: Moment = start): DispatchAction.Start {
        val started = starts(dispatcher.tick(now)).single()
        dispatcher.onBegin(started.run, WeightVersion(1), now)
        return started
    }

    @Nested
    inner class `A stream that breaks` {
        /** Guards against text that is made twice, or joined with a run that began elsewhere. */
        @Test
        fun `goes on at another upstream after the last event`() {
            dispatcher.board.relist(listOf(upstream("a"), upstream("b")))
            dispatcher.submit(listOf(item("x")))
            val first = begin()
            dispatcher.onEvent(first.run, 1, "one", null, start)
            dispatcher.onEvent(first.run, 2, "two", null, start)
            dispatcher.onEnd(first.run, RunEnd.Broken("reset"), start)
            val second = starts(dispatcher.tick(start)).single()
            expectThat(second.afterEvent).isEqualTo(2)
            expectThat(second.upstream.identity).not().isEqualTo(first.upstream.identity)
            dispatcher.onBegin(second.run, WeightVersion(1), start)
            dispatcher.onEvent(second.run, 3, "three", null, start)
            val finish = dispatcher.onEnd(second.run, RunEnd.Completed, start).single() as DispatchAction.Finish
            expectThat(finish.text.events).containsExactly("one", "two", "three")
        }

        /** Guards against a text that goes on after events which are none of the item's, and a wait for a result. */
        @Test
        fun `starts again elsewhere after events that can't be its text`() {
            dispatcher.board.relist(listOf(upstream("a"), upstream("b")))
            dispatcher.submit(listOf(item("x")))
            val first = begin()
            dispatcher.onEvent(first.run, 1, "one", null, start)
            dispatcher.onEnd(first.run, RunEnd.Broken("too long", isTextSound = false), start)
            val second = starts(dispatcher.tick(start)).single()
            expectThat(second.afterEvent).isNull()
            expectThat(second.upstream.identity).not().isEqualTo(first.upstream.identity)
        }

        /** Guards against a missing event inside a text. */
        @Test
        fun `is broken off when an event is missing`() {
            dispatcher.board.relist(listOf(upstream("a"), upstream("b")))
            dispatcher.submit(listOf(item("x")))
            val run = begin()
            dispatcher.onEvent(run.run, 1, "one", null, start)
            val actions = dispatcher.onEvent(run.run, 3, "three", null, start)
            expectThat(actions.single()).isA<DispatchAction.Abort>()
            expectThat(starts(dispatcher.tick(start)).single().afterEvent).isEqualTo(1)
        }

        /** Guards against an upstream behind a silent partition that holds an item until its step is late. */
        @Test
        fun `moves when no event comes for a while`() {
            dispatcher.board.relist(listOf(upstream("a"), upstream("b")))
            dispatcher.submit(listOf(item("x")))
            val run = begin()
            expectThat(dispatcher.tick(start + 600.milliseconds)).isEmpty()
            val actions = dispatcher.tick(start + 800.milliseconds)
            expectThat(actions.filterIsInstance<DispatchAction.Abort>().single().run).isEqualTo(run.run)
            expectThat(starts(actions).single().upstream.identity).not().isEqualTo(run.upstream.identity)
        }
    }

    @Nested
    inner class `Weights` {
        /** Guards against samples that are older than their step allows. */
        @Test
        fun `below the minimum get no item`() {
            dispatcher.board.relist(listOf(upstream("old", version = 1), upstream("new", version = 2)))
            dispatcher.submit(listOf(item("x", minimum = 2), item("y", minimum = 2), item("z", minimum = 2)))
            val started = starts(dispatcher.tick(start))
            expectThat(started.map { it.upstream.identity.value }).containsExactly("new", "new")
        }

        /** Guards against an answer under old weights that is taken because the list was wrong. */
        @Test
        fun `that an answer states below the minimum end its run`() {
            dispatcher.board.relist(listOf(upstream("a", version = 2)))
            dispatcher.submit(listOf(item("x", minimum = 2)))
            val run = starts(dispatcher.tick(start)).single()
            val actions = dispatcher.onBegin(run.run, WeightVersion(1), start)
            expectThat(actions.single()).isA<DispatchAction.Abort>()
        }

        /** Guards against a sample of two versions where one is asked for. */
        @Test
        fun `that change in a sample of one version start it anew`() {
            dispatcher.board.relist(listOf(upstream("a"), upstream("b")))
            dispatcher.submit(listOf(item("x", single = true)))
            val run = begin()
            dispatcher.onEvent(run.run, 1, "one", null, start)
            dispatcher.onEvent(run.run, 2, "two", WeightVersion(2), start)
            expectThat(starts(dispatcher.tick(start + 100.milliseconds)).single().afterEvent).isNull()
        }

        /** Guards against labels that leave out a version. */
        @Test
        fun `that change are both in the label`() {
            dispatcher.board.relist(listOf(upstream("a")))
            dispatcher.submit(listOf(item("x")))
            val run = begin()
            dispatcher.onEvent(run.run, 1, "one", null, start)
            dispatcher.onEvent(run.run, 2, "two", WeightVersion(2), start)
            val finish = dispatcher.onEnd(run.run, RunEnd.Completed, start).single() as DispatchAction.Finish
            expectThat(finish.text.versions).containsExactly(WeightVersion(1), WeightVersion(2))
        }
    }

    @Nested
    inner class `A result` {
        /** Guards against an item that fails at each run and is run for ever. */
        @Test
        fun `is an error after the allowed number of failures`() {
            dispatcher.board.relist(listOf(upstream("a"), upstream("b")))
            dispatcher.submit(listOf(item("x")))
            var now = start
            repeat(2) {
                val run = starts(dispatcher.tick(now)).single()
                expectThat(dispatcher.onEnd(run.run, RunEnd.Failed, now)).isEmpty()
                now += 1.seconds
            }
            val run = starts(dispatcher.tick(now)).single()
            val finish = dispatcher.onEnd(run.run, RunEnd.Failed, now).single() as DispatchAction.Finish
            expectThat(finish.isCompleted).isFalse()
        }

        /** Guards against an answer without any event that counts as a whole text. */
        @Test
        fun `needs at least one event`() {
            dispatcher.board.relist(listOf(upstream("a")))
            dispatcher.submit(listOf(item("x")))
            val run = begin()
            expectThat(dispatcher.onEnd(run.run, RunEnd.Completed, start)).isEmpty()
        }

        /** Guards against items that stay open for ever. */
        @Test
        fun `is an error when the item is too old`() {
            dispatcher.submit(listOf(item("x")))
            val finish = dispatcher.tick(start + 41.seconds).single() as DispatchAction.Finish
            expectThat(finish.isCompleted).isFalse()
        }
    }

    @Nested
    inner class `A place` {
        /** Guards against more requests on an upstream than it runs at once. */
        @Test
        fun `is taken once`() {
            dispatcher.board.relist(listOf(upstream("a", slots = 2)))
            dispatcher.submit(listOf(item("x"), item("y"), item("z")))
            expectThat(starts(dispatcher.tick(start))).hasSize(2)
            expectThat(dispatcher.waitingItems).isEqualTo(1)
        }

        /** Guards against work for an upstream that leaves. */
        @Test
        fun `of a leaving upstream is not used`() {
            dispatcher.board.relist(listOf(upstream("a", isLeaving = true)))
            dispatcher.submit(listOf(item("x")))
            expectThat(starts(dispatcher.tick(start))).isEmpty()
        }

        /** Load pattern: more items than places, some very long. Guards against a long item that starts last. */
        @Test
        fun `goes to the longest item first`() {
            dispatcher.board.relist(listOf(upstream("a", slots = 1)))
            dispatcher.submit(listOf(item("short", expected = 10), item("long", expected = 5_000)))
            expectThat(starts(dispatcher.tick(start)).single().key.item.value).isEqualTo("long")
        }
    }

    @Nested
    inner class `An ended job` {
        /** Guards against items that run after the end of their job. */
        @Test
        fun `starts nothing more and ends its runs`() {
            dispatcher.board.relist(listOf(upstream("a", slots = 1)))
            dispatcher.submit(listOf(item("x"), item("y")))
            val run = begin()
            dispatcher.onEvent(run.run, 1, "one", null, start)
            val cancelled = dispatcher.cancelJob("job")
            expectThat(cancelled.aborts.single().run).isEqualTo(run.run)
            expectThat(cancelled.texts.values.single().events).containsExactly("one")
            expectThat(dispatcher.tick(start + 1.seconds)).isEmpty()
            expectThat(dispatcher.onEvent(run.run, 2, "late", null, start)).isEmpty()
        }
    }

    @Nested
    inner class `An upstream that fails` {
        /** Guards against items that are sent again and again to an upstream that resets each connection. */
        @Test
        fun `is avoided for a while`() {
            dispatcher.board.relist(listOf(upstream("a")))
            dispatcher.submit(listOf(item("x")))
            val run = starts(dispatcher.tick(start)).single()
            dispatcher.onEnd(run.run, RunEnd.Broken("reset"), start)
            expectThat(starts(dispatcher.tick(start + 100.milliseconds))).isEmpty()
            expectThat(starts(dispatcher.tick(start + 300.milliseconds)).isNotEmpty()).isTrue()
        }
    }
}
