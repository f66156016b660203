package org.zinniahoist.policy.dispatch

import org.junit.jupiter.api.Test
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.policy.dispatch.DispatchFixture.START
import org.zinniahoist.policy.dispatch.DispatchFixture.starts
import org.zinniahoist.policy.dispatch.DispatchFixture.upstream
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests the placement of items whose prompts and expected outputs are known, on engines with 1,000 tokens. */
internal class MemoryFitTest {
    private val dispatcher = ItemDispatcher(options = DispatchOptions(placement = PlacementKind.MEMORY))
    private val registry get() = dispatcher.registry

    init {
        registry.engineMemory = mapOf(item("x", 0).service to 1_000)
    }

    private fun item(name: String, prompt: Int, output: Int = 100) = DispatchFixture.item(name)
        .copy(promptTokens = prompt, expectedTokens = output, maximumOutput = 400)

    private fun List<DispatchAction>.names() = starts(this).map { it.key.item.value }

    private fun List<DispatchAction>.upstreams() = starts(this).map { it.upstream.identity.value }

    /** Guards against an upstream that crashes because its requests exceed the memory although slots are free. */
    @Test
    fun `a free slot without memory takes no run`() {
        registry.relist(listOf(upstream("a", slots = 8)))
        dispatcher.submit((1..4).map { item("x$it", prompt = 300) })
        expectThat(dispatcher.tick(START).names()).containsExactly("x1", "x2")
        val report = dispatcher.oldestWaiting(START)
        expectThat(report?.reason).isEqualTo(WaitReason.NoMemory(400))
    }

    /** Guards against the same for an item that resumes after a long text, which the upstream has to hold as well. */
    @Test
    fun `a resumed text counts as held tokens`() {
        registry.relist(listOf(upstream("a", slots = 8)))
        val text = ItemText(List(390) { "e" }, lastNumber = 390, identifier = 1)
        dispatcher.submit(listOf(item("x", prompt = 300), item("y", prompt = 300).copy(text = text)))
        expectThat(dispatcher.tick(START).names()).hasSize(1)
    }

    /** Guards against new runs beside texts that became longer than expected. */
    @Test
    fun `a text longer than expected leaves less room`() {
        registry.relist(listOf(upstream("a", slots = 8)))
        dispatcher.submit(listOf(item("x", prompt = 300)))
        val run = starts(dispatcher.tick(START)).single()
        dispatcher.onBegin(run.run, WeightVersion(1), START)
        (1L..320L).forEach { dispatcher.onEvent(run.run, it, "e", null, START) }
        dispatcher.submit(listOf(item("y", prompt = 150)))
        expectThat(dispatcher.tick(START)).isEmpty()
        dispatcher.onEnd(run.run, RunEnd.Completed, START)
        expectThat(dispatcher.tick(START).names()).containsExactly("y")
    }

    /** Guards against an item that is larger than the memory left and waits while smaller ones take each free part. */
    @Test
    fun `an upstream is kept free for a large item that has waited for long`() {
        registry.relist(listOf(upstream("a", slots = 8)))
        dispatcher.submit(listOf(item("s1", prompt = 300), item("s2", prompt = 300)))
        val small = starts(dispatcher.tick(START))
        dispatcher.submit(listOf(item("large", prompt = 600, output = 200), item("s3", prompt = 300)))
        expectThat(dispatcher.place(START)).isEmpty()
        val now = START + 1_100.milliseconds
        small.forEach { dispatcher.onEvent(it.run, 1, "e", null, now) }
        dispatcher.onEnd(small[0].run, RunEnd.Completed, now)
        expectThat(dispatcher.place(now)).isEmpty()
        dispatcher.onEnd(small[1].run, RunEnd.Completed, now)
        expectThat(dispatcher.place(now).names()).containsExactly("large")
    }

    /** Guards against several large items that keep all upstreams free at once. */
    @Test
    fun `one upstream at a time is kept free`() {
        registry.relist(listOf(upstream("a", slots = 8), upstream("b", slots = 8)))
        dispatcher.submit((1..4).map { item("s$it", prompt = 300) })
        val small = starts(dispatcher.tick(START))
        dispatcher.submit((1..3).map { item("large$it", prompt = 600, output = 200) })
        dispatcher.place(START)
        val now = START + 1_100.milliseconds
        dispatcher.submit((5..6).map { item("s$it", prompt = 300) })
        for (run in small.distinctBy { it.upstream.identity }) {
            dispatcher.onEvent(run.run, 1, "e", null, now)
            dispatcher.onEnd(run.run, RunEnd.Completed, now)
        }
        expectThat(dispatcher.place(now).names()).containsExactly("s5")
    }

    /** Guards against an item that is larger than the memory and never runs. */
    @Test
    fun `an item larger than the memory goes to an upstream without runs`() {
        registry.relist(listOf(upstream("a"), upstream("b")))
        dispatcher.submit(listOf(item("x", prompt = 300)))
        val first = dispatcher.tick(START).upstreams().single()
        dispatcher.submit(listOf(item("huge", prompt = 2_000)))
        expectThat(dispatcher.tick(START).upstreams()).containsExactly(if (first == "a") "b" else "a")
    }

    /** Guards against a short prompt that waits behind a long one although another upstream reads nothing. */
    @Test
    fun `a run starts where the fewest prompt tokens are pending`() {
        registry.relist(listOf(upstream("a", slots = 8), upstream("b", slots = 8)))
        dispatcher.submit(listOf(item("long", prompt = 600)))
        val reading = dispatcher.tick(START).upstreams().single()
        val other = if (reading == "a") "b" else "a"
        dispatcher.submit((1..3).map { item("s$it", prompt = 10) })
        expectThat(dispatcher.tick(START).upstreams()).containsExactly(other, other, other)
    }

    /** Guards against memory that stays reserved for runs that have ended, which would leave upstreams unused. */
    @Test
    fun `ended runs hold no tokens`() {
        registry.relist(listOf(upstream("a", slots = 8)))
        dispatcher.submit((1..2).map { item("x$it", prompt = 300) })
        val runs = starts(dispatcher.tick(START))
        dispatcher.onBegin(runs[0].run, WeightVersion(1), START)
        (1L..150L).forEach { dispatcher.onEvent(runs[0].run, it, "e", null, START) }
        dispatcher.onEnd(runs[0].run, RunEnd.Completed, START)
        dispatcher.onEnd(runs[1].run, RunEnd.Broken("reset"), START)
        val load = registry.tracked(UpstreamIdentity("a"))?.load
        expectThat(load?.heldTokens to load?.pendingPrefill).isEqualTo(0L to 0L)
    }

    /** Guards against an upstream that is avoided long after its slow moment, or used during it. */
    @Test
    fun `an upstream is avoided while its events are slow and used soon after`() {
        registry.relist(listOf(upstream("slow", slots = 8), upstream("b", slots = 8), upstream("c", slots = 8)))
        listOf("b", "c").forEach { name ->
            registry.onEventInterval(UpstreamIdentity(name), 20.milliseconds, START)
        }
        repeat(5) {
            registry.onEventInterval(UpstreamIdentity("slow"), 60.milliseconds, START + (60 * it).milliseconds)
        }
        dispatcher.submit((1..2).map { item("x$it", prompt = 0, output = 10) })
        expectThat(dispatcher.tick(START + 300.milliseconds).upstreams().toSet()).isEqualTo(setOf("b", "c"))
        dispatcher.submit(listOf(item("y", prompt = 0, output = 10)))
        expectThat(dispatcher.place(START + 1.seconds).upstreams()).containsExactly("slow")
    }
}
