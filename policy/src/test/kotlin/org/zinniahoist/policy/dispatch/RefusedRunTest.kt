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

/** Upstreams that refuse runs; "sound" has work already, so that an empty one is chosen before it. */
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
        giveUpAt = start + 40.seconds,
        maximumFailures = 3,
    )

    private fun starts(now: Moment) = dispatcher.tick(now).filterIsInstance<DispatchAction.Start>()

    private fun occupySound() {
        dispatcher.board.relist(listOf(upstream("sound")))
        dispatcher.submit(List(2) { item("busy-$it") })
        starts(start).forEach { dispatcher.onBegin(it.run, version = null, now = start) }
    }

    /** Ticks for [seconds] while "refusing" answers each run with [end]; returns how many runs it refused. */
    private fun refuseFor(seconds: Int, end: RunEnd): Int {
        var refused = 0
        repeat(seconds * TICKS_PER_SECOND) { tick ->
            val now = start + TICK * tick
            val refusing = starts(now).filter { it.upstream.identity.value == "refusing" }
            refusing.forEach { dispatcher.onEnd(it.run, end, now) }
            refused += refusing.size
        }
        return refused
    }

    /** Guards against items that wait for a replaced upstream as long as the list shows it, while others are free. */
    @Test
    fun `an item that met a replaced upstream goes to another at once`() {
        occupySound()
        dispatcher.board.relist(listOf(upstream("sound"), upstream("refusing")))
        dispatcher.submit(listOf(item("x")))
        val first = starts(start).single()
        expectThat(first.upstream.identity.value).isEqualTo("refusing")
        dispatcher.onEnd(first.run, RunEnd.Misdirected, start)
        expectThat(starts(start).single().upstream.identity.value).isEqualTo("sound")
    }

    /** Guards against hundreds of runs a second on an upstream that is gone but listed. */
    @Test
    fun `a replaced upstream is asked ever more seldom`() {
        dispatcher.board.relist(listOf(upstream("refusing")))
        dispatcher.submit(List(2 * SLOTS) { item("x$it") })
        expectThat(refuseFor(seconds = 6, RunEnd.Misdirected)).isLessThan(6 * SLOTS)
    }

    /** Guards against items that wait for an upstream which is full of other callers' work, while another is free. */
    @Test
    fun `an item that met a full upstream goes to another`() {
        occupySound()
        dispatcher.board.relist(listOf(upstream("sound"), upstream("refusing")))
        dispatcher.submit(listOf(item("x")))
        val first = starts(start).single()
        dispatcher.onEnd(first.run, RunEnd.NotRun, start)
        val next = (1..10).firstNotNullOf { starts(start + 10.milliseconds * it).firstOrNull() }
        expectThat(next.upstream.identity.value).isEqualTo("sound")
    }

    /** Guards against an upstream that was full for a moment and is then left empty for seconds. */
    @Test
    fun `a full upstream is asked again soon`() {
        dispatcher.board.relist(listOf(upstream("refusing")))
        dispatcher.submit(List(SLOTS) { item("x$it") })
        refuseFor(seconds = 6, RunEnd.NotRun)
        expectThat((1..4).any { starts(start + 6.seconds + TICK * it).isNotEmpty() }).isTrue()
    }

    /** Guards against hundreds of runs a second on an upstream whose other places are full, while its streams go on. */
    @Test
    fun `events of other runs do not end the pause of a full upstream`() {
        dispatcher.board.relist(listOf(upstream("refusing")))
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
        expectThat(refused).isLessThan(PAUSES * SLOTS)
    }

    private companion object {
        val EVENT_INTERVAL = 10.milliseconds

        /** Events in a second. */
        const val EVENTS = 100

        /** Pauses of 60 ms in a second, rounded up; each may be followed by a run on each place. */
        const val PAUSES = 17
        val SERVICE = ServiceName("drafts")
        const val SLOTS = 4
        val TICK = 50.milliseconds
        const val TICKS_PER_SECOND = 20
    }
}
