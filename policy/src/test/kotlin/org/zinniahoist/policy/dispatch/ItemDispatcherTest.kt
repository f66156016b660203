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
        expiresAt = start + 40.seconds,
        maximumFailures = 3,
        expectedTokens = expected,
        terms = WeightConstraints(model, WeightVersion(minimum), single),
    )

    private fun starts(actions: List<DispatchAction>) = actions.filterIsInstance<DispatchAction.Start>()

    private fun begin(now: Moment = start): DispatchAction.Start {
        val started = starts(dispatcher.tick(now)).single()
        dispatcher.onBegin(started.run, WeightVersion(1), now)
        return started
    }

    @Nested
    inner class `A stream that breaks` {
        /** Guards against text that is generated twice or joined with a run that began at another event. */
        @Test
        fun `resumes on another upstream after the last event`() {
            dispatcher.registry.relist(listOf(upstream("a"), upstream("b")))
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

        /** Guards against an item that resumes after events which are not its text, or that is not retried. */
        @Test
        fun `restarts on another upstream after events that are not valid text`() {
            dispatcher.registry.relist(listOf(upstream("a"), upstream("b")))
            dispatcher.submit(listOf(item("x")))
            val first = begin()
            dispatcher.onEvent(first.run, 1, "one", null, start)
            dispatcher.onEnd(first.run, RunEnd.Broken("too long", isTextSound = false), start)
            val second = starts(dispatcher.tick(start)).single()
            expectThat(second.afterEvent).isNull()
            expectThat(second.upstream.identity).not().isEqualTo(first.upstream.identity)
        }

        /** Guards against a gap in the text when an event is lost. */
        @Test
        fun `is aborted when an event is missing`() {
            dispatcher.registry.relist(listOf(upstream("a"), upstream("b")))
            dispatcher.submit(listOf(item("x")))
            val run = begin()
            dispatcher.onEvent(run.run, 1, "one", null, start)
            val actions = dispatcher.onEvent(run.run, 3, "three", null, start)
            expectThat(actions.single()).isA<DispatchAction.Abort>()
            expectThat(starts(dispatcher.tick(start)).single().afterEvent).isEqualTo(1)
        }

        /** Guards against a network partition that stalls an item without an error until its step is late. */
        @Test
        fun `moves when no event arrives within the stall timeout`() {
            dispatcher.registry.relist(listOf(upstream("a"), upstream("b")))
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
        /** Guards against samples generated by weights that are older than the step allows. */
        @Test
        fun `below the minimum version get no items`() {
            dispatcher.registry.relist(listOf(upstream("old", version = 1), upstream("new", version = 2)))
            dispatcher.submit(listOf(item("x", minimum = 2), item("y", minimum = 2), item("z", minimum = 2)))
            val started = starts(dispatcher.tick(start))
            expectThat(started.map { it.upstream.identity.value }).containsExactly("new", "new")
        }

        /** Guards against accepting text of old weights when the list shows a newer version than the upstream holds. */
        @Test
        fun `that a response reports below the minimum version abort its run`() {
            dispatcher.registry.relist(listOf(upstream("a", version = 2)))
            dispatcher.submit(listOf(item("x", minimum = 2)))
            val run = starts(dispatcher.tick(start)).single()
            val actions = dispatcher.onBegin(run.run, WeightVersion(1), start)
            expectThat(actions.single()).isA<DispatchAction.Abort>()
        }

        /** Guards against a sample from two weight versions where a single version is required. */
        @Test
        fun `that change within a single-version sample restart it`() {
            dispatcher.registry.relist(listOf(upstream("a"), upstream("b")))
            dispatcher.submit(listOf(item("x", single = true)))
            val run = begin()
            dispatcher.onEvent(run.run, 1, "one", null, start)
            dispatcher.onEvent(run.run, 2, "two", WeightVersion(2), start)
            expectThat(starts(dispatcher.tick(start + 100.milliseconds)).single().afterEvent).isNull()
        }

        /** Guards against a sample whose list of weight versions is incomplete. */
        @Test
        fun `that change are both listed in the versions of the text`() {
            dispatcher.registry.relist(listOf(upstream("a")))
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
        /** Guards against endless retries of an item that fails on each run. */
        @Test
        fun `is an error after the allowed number of failures`() {
            dispatcher.registry.relist(listOf(upstream("a"), upstream("b")))
            dispatcher.submit(listOf(item("x")))
            var now = start
            repeat(2) {
                val run = starts(dispatcher.tick(now)).single()
                expectThat(dispatcher.onEnd(run.run, RunEnd.Failed, now)).containsExactly(recordOf(it + 1))
                expectThat(dispatcher.onFailureRecorded(run.key, 3, now)).isEmpty()
                now += 1.seconds
            }
            val run = starts(dispatcher.tick(now)).single()
            expectThat(dispatcher.onEnd(run.run, RunEnd.Failed, now)).containsExactly(recordOf(3))
            val finish = dispatcher.onFailureRecorded(run.key, 3, now).single() as DispatchAction.Finish
            expectThat(finish.isCompleted).isFalse()
        }

        private fun recordOf(failures: Int) = DispatchAction.RecordFailure(item("x").key, failures)

        /** Guards against runs that a later leader does not count, so that an item fails more often than allowed. */
        @Test
        fun `does not run again before its failure is recorded`() {
            dispatcher.registry.relist(listOf(upstream("a"), upstream("b")))
            dispatcher.submit(listOf(item("x")))
            val run = starts(dispatcher.tick(start)).single()
            dispatcher.onEnd(run.run, RunEnd.Failed, start)
            expectThat(dispatcher.tick(start + 5.seconds)).isEmpty()
            expectThat(starts(dispatcher.onFailureRecorded(run.key, 3, start + 5.seconds))).hasSize(1)
        }

        /** Guards against an item that is never sent again because no configuration can be read at the moment. */
        @Test
        fun `runs again after a failure while no route is in force`() {
            dispatcher.registry.relist(listOf(upstream("a"), upstream("b")))
            dispatcher.submit(listOf(item("x")))
            val run = starts(dispatcher.tick(start)).single()
            dispatcher.onEnd(run.run, RunEnd.Failed, start)
            expectThat(starts(dispatcher.onFailureRecorded(run.key, null, start + 1.seconds))).hasSize(1)
        }

        /** Guards against an item that keeps running because the limit of its route was lowered in the meantime. */
        @Test
        fun `is an error without another run if its earlier failures are too many`() {
            dispatcher.registry.relist(listOf(upstream("a")))
            dispatcher.submit(listOf(item("x").copy(failures = 3)))
            val finish = dispatcher.tick(start).single() as DispatchAction.Finish
            expectThat(finish.isCompleted).isFalse()
        }

        /** Guards against a response without events that is accepted as a complete text. */
        @Test
        fun `needs at least one event`() {
            dispatcher.registry.relist(listOf(upstream("a")))
            dispatcher.submit(listOf(item("x")))
            val run = begin()
            expectThat(dispatcher.onEnd(run.run, RunEnd.Completed, start)).isEmpty()
        }

        /** Guards against items that never finish. */
        @Test
        fun `is an error after the deadline of the item`() {
            dispatcher.submit(listOf(item("x")))
            val finish = dispatcher.tick(start + 41.seconds).single() as DispatchAction.Finish
            expectThat(finish.isCompleted).isFalse()
        }
    }

    @Nested
    inner class `A slot` {
        /** Guards against more concurrent requests on an upstream than it has slots. */
        @Test
        fun `is occupied by one run at a time`() {
            dispatcher.registry.relist(listOf(upstream("a", slots = 2)))
            dispatcher.submit(listOf(item("x"), item("y"), item("z")))
            expectThat(starts(dispatcher.tick(start))).hasSize(2)
            expectThat(dispatcher.waitingItems).isEqualTo(1)
        }

        /** Guards against new runs on an upstream that is leaving. */
        @Test
        fun `of a leaving upstream is not used`() {
            dispatcher.registry.relist(listOf(upstream("a", isLeaving = true)))
            dispatcher.submit(listOf(item("x")))
            expectThat(starts(dispatcher.tick(start))).isEmpty()
        }

        /** Guards against a very long item that starts last when there are more items than slots. */
        @Test
        fun `goes to the longest item first`() {
            dispatcher.registry.relist(listOf(upstream("a", slots = 1)))
            dispatcher.submit(listOf(item("short", expected = 10), item("long", expected = 5_000)))
            expectThat(starts(dispatcher.tick(start)).single().key.item.value).isEqualTo("long")
        }
    }

    @Nested
    inner class `A cancelled job` {
        /** Guards against items that run after their job was cancelled. */
        @Test
        fun `aborts its runs and starts no others`() {
            dispatcher.registry.relist(listOf(upstream("a", slots = 1)))
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
        /** Guards against immediate retries on an upstream that resets each connection. */
        @Test
        fun `is suspended for a short time`() {
            dispatcher.registry.relist(listOf(upstream("a")))
            dispatcher.submit(listOf(item("x")))
            val run = starts(dispatcher.tick(start)).single()
            dispatcher.onEnd(run.run, RunEnd.Broken("reset"), start)
            expectThat(starts(dispatcher.tick(start + 100.milliseconds))).isEmpty()
            expectThat(starts(dispatcher.tick(start + 300.milliseconds)).isNotEmpty()).isTrue()
        }
    }
}
