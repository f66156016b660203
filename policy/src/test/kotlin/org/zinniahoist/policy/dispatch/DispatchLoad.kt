package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.ModelName
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.model.WorkspaceName
import org.zinniahoist.policy.dispatch.DispatchFixture.START
import org.zinniahoist.policy.dispatch.DispatchFixture.TICK
import org.zinniahoist.policy.dispatch.DispatchFixture.item
import org.zinniahoist.policy.dispatch.DispatchFixture.upstream
import java.lang.management.ManagementFactory
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds

/** Simulates a dispatcher with all slots in use and a constant number of open [items]: each ended item is replaced. */
internal class DispatchLoad(
    items: Int,
    slots: Int = 8,
    options: DispatchOptions = DispatchOptions(),
) {
    private val dispatcher = ItemDispatcher(options = options)
    private val threads = ManagementFactory.getThreadMXBean()
    private val runs = LinkedHashMap<Long, Long>()
    private var submitted = 0
    private var now = START

    init {
        dispatcher.registry.engineMemory = mapOf(item("x").service to MEMORY)
        val versions = models.associateWith { WeightVersion(1) }
        dispatcher.registry.relist((1..UPSTREAMS).map { upstream("u$it", slots).copy(versions = versions) })
        dispatcher.submit(List(items) { nextItem() })
    }

    /** Fills all slots and advances until the event intervals of all upstreams are measured and no run is new. */
    fun fill() {
        execute(dispatcher.tick(now))
        repeat(10) { step() }
    }

    /** Returns the number of upstream examinations at the end of one run. */
    fun examinedAtRunEnd(): Long = examined { end(runs.keys.first()) }

    /** Returns the number of upstream examinations in a tick. */
    fun examinedAtTick(): Long = examined { execute(dispatcher.tick(now)) }

    /** Returns the mean CPU time of an event and its consequences in microseconds, over [steps] events of each run. */
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
        val before = dispatcher.registry.examinations
        action()
        return dispatcher.registry.examinations - before
    }

    /** Handles one event of each run, then a tick. */
    private fun step() {
        now += TICK
        for (run in runs.keys.toList()) {
            val number = runs.getValue(run) + 1
            runs[run] = number
            execute(dispatcher.onEvent(run, number, "a few words of text", null, now))
            if (number >= MINIMUM_EVENTS + run % MINIMUM_EVENTS) end(run)
        }
        execute(dispatcher.tick(now))
    }

    private fun end(run: Long) {
        runs -= run
        execute(dispatcher.onEnd(run, RunEnd.Completed, now))
        dispatcher.submit(listOf(nextItem()))
        execute(dispatcher.place(now))
    }

    private fun execute(actions: List<DispatchAction>) = DispatchFixture.starts(actions).forEach { start ->
        runs[start.run] = start.afterEvent ?: 0
        dispatcher.onBegin(start.run, WeightVersion(1), now)
    }

    private fun nextItem(): ItemWork {
        val number = submitted++
        val model = models[number % MODELS]
        val work = item("x$number")
        return work.copy(
            key = ItemKey("job${number / ITEMS_PER_JOB}", RequestIdentifier("x$number")),
            dueAt = START + (number / ITEMS_PER_JOB).milliseconds,
            expiresAt = START + 1.hours,
            expectedTokens = number * 31 % 97,
            workspace = WorkspaceName("w${number % WORKSPACES}"),
            priority = number % 3,
            group = "g${number / 8}",
            wantedGroups = 7,
            promptTokens = 100 + number * 37 % 400,
            terms = WeightConstraints(model, WeightVersion(1), singleVersion = false),
        )
    }

    companion object {
        const val UPSTREAMS = 28
        const val MODELS = 4
        private const val WORKSPACES = 78

        /** About what the runs of all slots hold, so that some items wait for memory. */
        private const val MEMORY = 3_000L
        private const val ITEMS_PER_JOB = 64

        /** Minimum number of events of an item; the longest items have almost twice as many. */
        private const val MINIMUM_EVENTS = 9
        private val models = (1..MODELS).map { ModelName("m$it") }
    }
}
