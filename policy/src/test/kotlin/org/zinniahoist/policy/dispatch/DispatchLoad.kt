package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.ModelName
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.policy.dispatch.DispatchFixture.START
import org.zinniahoist.policy.dispatch.DispatchFixture.TICK
import org.zinniahoist.policy.dispatch.DispatchFixture.item
import org.zinniahoist.policy.dispatch.DispatchFixture.upstream
import java.lang.management.ManagementFactory
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds

/** A dispatcher whose places are all in use while [items] are open: each item that ends is followed by another. */
internal class DispatchLoad(
    items: Int,
    slots: Int = 8,
) {
    private val dispatcher = ItemDispatcher()
    private val threads = ManagementFactory.getThreadMXBean()
    private val runs = LinkedHashMap<Long, Long>()
    private var submitted = 0
    private var now = START

    init {
        val versions = models.associateWith { WeightVersion(1) }
        dispatcher.board.relist((1..UPSTREAMS).map { upstream("u$it", slots).copy(versions = versions) })
        dispatcher.submit(List(items) { next() })
    }

    /** Fills all places, and plays until the paces of the upstreams are known and no run is new. */
    fun fill() {
        follow(dispatcher.tick(now))
        repeat(10) { step() }
    }

    /** Returns how many upstreams were examined, with repetitions, at the end of one run. */
    fun examinedAtRunEnd(): Long = examined { end(runs.keys.first()) }

    /** Returns how many upstreams were examined, with repetitions, in a tick. */
    fun examinedAtTick(): Long = examined { follow(dispatcher.tick(now)) }

    /** Returns the processor time for an event with all that follows from it, over [steps] events of each run. */
    fun microsecondsPerEvent(steps: Int): Double {
        var events = 0
        val start = threads.currentThreadCpuTime
        repeat(steps) {
            events += runs.size
            step()
        }
        return (threads.currentThreadCpuTime - start) / 1_000.0 / events
    }

    private fun examined(action: () -> Unit): Long {
        val before = dispatcher.board.examinations
        action()
        return dispatcher.board.examinations - before
    }

    /** One event of each run, and a tick. */
    private fun step() {
        now += TICK
        for (run in runs.keys.toList()) {
            val number = runs.getValue(run) + 1
            runs[run] = number
            follow(dispatcher.onEvent(run, number, "a few words of text", null, now))
            if (number >= EVENTS + run % EVENTS) end(run)
        }
        follow(dispatcher.tick(now))
    }

    private fun end(run: Long) {
        runs -= run
        follow(dispatcher.onEnd(run, RunEnd.Completed, now))
        dispatcher.submit(listOf(next()))
        follow(dispatcher.place(now))
    }

    private fun follow(actions: List<DispatchAction>) = DispatchFixture.starts(actions).forEach { start ->
        runs[start.run] = start.afterEvent ?: 0
        dispatcher.onBegin(start.run, WeightVersion(1), now)
    }

    private fun next(): ItemWork {
        val number = submitted++
        val model = models[number % MODELS]
        val work = item("x$number")
        return work.copy(
            key = ItemKey("job${number / ITEMS_PER_JOB}", RequestIdentifier("x$number")),
            dueAt = START + (number / ITEMS_PER_JOB).milliseconds,
            giveUpAt = START + 1.hours,
            expectedTokens = number * 31 % 97,
            terms = DraftTerms(model, WeightVersion(1), singleVersion = false),
        )
    }

    companion object {
        const val UPSTREAMS = 28
        const val MODELS = 4
        private const val ITEMS_PER_JOB = 64

        /** Least events of an item; the longest has twice as many. */
        private const val EVENTS = 9
        private val models = (1..MODELS).map { ModelName("m$it") }
    }
}
