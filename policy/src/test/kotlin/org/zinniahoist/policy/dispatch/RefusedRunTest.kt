package org.zinniahoist.policy.dispatch

import org.junit.jupiter.api.Test
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.UpstreamIdentity
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests retries after refused runs. "sound" already runs two items, so the empty upstream "refusing" is preferred. */
internal class RefusedRunTest {
    private val start = Moment(0)
    private val dispatcher = ItemDispatcher()

    private fun upstream(name: String) = ListedUpstream(
        identity = UpstreamIdentity(name),
        service = SERVICE,
        endpoint = Endpoint("127.0.0.1", 80),
        failureDomain = "a",
        slots = SLOTS,
        isLeaving = false,
        versions = emptyMap(),
    )

    private fun item(name: String) = ItemWork(
        key = ItemKey("job", RequestIdentifier(name)),
        service = SERVICE,
        dueAt = start + 7.seconds,
        expiresAt = start + 40.seconds,
        maximumFailures = 3,
    )

    private fun starts(now: Moment) = dispatcher.tick(now).filterIsInstance<DispatchAction.Start>()

    private fun occupySoundUpstream() {
        dispatcher.registry.relist(listOf(upstream("sound")))
        dispatcher.submit(List(2) { item("busy-$it") })
        starts(start).forEach { dispatcher.onBegin(it.run, version = null, now = start) }
    }

    /** Ticks for [seconds] while "refusing" ends each run with [end]. Returns the number of refused runs. */
    private fun countRefusals(seconds: Int, end: RunEnd): Int {
        var refused = 0
        repeat(seconds * TICKS_PER_SECOND) { tick ->
            val now = start + TICK * tick
            val refusing = starts(now).filter { it.upstream.identity.value == "refusing" }
            refusing.forEach { dispatcher.onEnd(it.run, end, now) }
            refused += refusing.size
        }
        return refused
    }

    /** Guards against items that wait for a replaced upstream until the list drops it, while another is free. */
    @Test
    fun `an item whose upstream was replaced is retried on another at once`() {
        occupySoundUpstream()
        dispatcher.registry.relist(listOf(upstream("sound"), upstream("refusing")))
        dispatcher.submit(listOf(item("x")))
        val first = starts(start).single()
        expectThat(first.upstream.identity.value).isEqualTo("refusing")
        dispatcher.onEnd(first.run, RunEnd.Misdirected, start)
        expectThat(starts(start).single().upstream.identity.value).isEqualTo("sound")
    }

    /** Guards against hundreds of runs per second on an upstream that no longer exists but is still listed. */
    @Test
    fun `runs on a replaced upstream back off exponentially`() {
        dispatcher.registry.relist(listOf(upstream("refusing")))
        dispatcher.submit(List(2 * SLOTS) { item("x$it") })
        expectThat(countRefusals(seconds = 6, RunEnd.Misdirected)).isLessThan(6 * SLOTS)
    }

    /** Guards against items that wait for an upstream whose slots other callers use, while another upstream is free. */
    @Test
    fun `an item refused by a full upstream is retried on another`() {
        occupySoundUpstream()
        dispatcher.registry.relist(listOf(upstream("sound"), upstream("refusing")))
        dispatcher.submit(listOf(item("x")))
        val first = starts(start).single()
        dispatcher.onEnd(first.run, RunEnd.NotRun, start)
        val next = (1..10).firstNotNullOf { starts(start + 10.milliseconds * it).firstOrNull() }
        expectThat(next.upstream.identity.value).isEqualTo("sound")
    }

    /** Guards against an upstream that stays idle for seconds after a short time without free slots. */
    @Test
    fun `a full upstream is retried soon`() {
        dispatcher.registry.relist(listOf(upstream("refusing")))
        dispatcher.submit(List(SLOTS) { item("x$it") })
        countRefusals(seconds = 6, RunEnd.NotRun)
        expectThat((1..4).any { starts(start + 6.seconds + TICK * it).isNotEmpty() }).isTrue()
    }

    /** Guards against hundreds of refused runs per second on a full upstream whose running streams deliver events. */
    @Test
    fun `events of other runs do not end the back-off of a full upstream`() {
        dispatcher.registry.relist(listOf(upstream("refusing")))
        dispatcher.submit(listOf(item("busy")))
        val busy = starts(start).single()
        dispatcher.onBegin(busy.run, version = null, now = start)
        dispatcher.submit(List(10 * SLOTS) { item("x$it") })
        var refused = 0
        repeat(EVENTS) { event ->
            val now = start + EVENT_INTERVAL * event
            dispatcher.onEvent(busy.run, event + 1L, "e", version = null, now = now)
            val refusing = starts(now)
            refusing.forEach { dispatcher.onEnd(it.run, RunEnd.NotRun, now) }
            refused += refusing.size
        }
        expectThat(refused).isLessThan(BACKOFFS * SLOTS)
    }

    private companion object {
        val EVENT_INTERVAL = 10.milliseconds

        /** Number of events in one second. */
        const val EVENTS = 100

        /** Back-offs of 60 ms in one second, rounded up; after each one a run may start on every slot. */
        const val BACKOFFS = 17
        val SERVICE = ServiceName("drafts")
        const val SLOTS = 4
        val TICK = 50.milliseconds
        const val TICKS_PER_SECOND = 20
    }
}
