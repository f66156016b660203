package org.zinniahoist.policy.dispatch

import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import org.zinniahoist.policy.dispatch.DispatchLoad.Companion.MODELS
import org.zinniahoist.policy.dispatch.DispatchLoad.Companion.UPSTREAMS
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

/** Tests the cost of scheduling decisions for 28 upstreams with 8 slots each, all of which hold every model. */
internal class DispatchCostTest {
    /** Guards against a pass over all upstreams for each waiting item. */
    @Test
    fun `the upstreams examined at the end of a run do not grow with the waiting items`() {
        val few = DispatchLoad(items = 500).apply { fill() }.examinedAtRunEnd()
        val many = DispatchLoad(items = 2_000).apply { fill() }.examinedAtRunEnd()
        expectThat(many).isEqualTo(few)
        expectThat(few).isLessThan(EXAMINATIONS)
    }

    /** Guards against a stall check that passes over all upstreams for each run. */
    @Test
    fun `the upstreams examined in a tick do not grow with the runs`() {
        val few = DispatchLoad(items = WAITING + 2 * UPSTREAMS, slots = 2).apply { fill() }.examinedAtTick()
        val many = DispatchLoad(items = WAITING + 8 * UPSTREAMS, slots = 8).apply { fill() }.examinedAtTick()
        expectThat(many).isEqualTo(few)
        expectThat(few).isLessThan(EXAMINATIONS)
    }

    /** Guards against a CPU-bound leader: measures the CPU time of an event and the decisions that follow it. */
    @Test
    fun `an event takes less than 10 microseconds of CPU time`() {
        val load = DispatchLoad(items = 500).apply { fill() }
        val rounds = (1..ROUNDS).map { load.microsecondsPerEvent(STEPS) }
        println("microseconds of processor time for an event, by round: ${rounds.map { "%.2f".format(it) }}")
        expectThat(rounds.min()).isLessThan(MICROSECONDS_PER_EVENT)
    }

    /** Guards against the same with placement by memory, while memory and slots are short. */
    @Test
    fun `an event takes less than 10 microseconds of CPU time with placement by memory`() {
        val load = DispatchLoad(items = 500, options = DispatchOptions(placement = PlacementKind.MEMORY)).apply {
            fill()
        }
        val rounds = (1..ROUNDS).map { load.microsecondsPerEvent(STEPS) }
        println("the same with placement by memory: ${rounds.map { "%.2f".format(it) }}")
        expectThat(rounds.min()).isLessThan(MICROSECONDS_PER_EVENT)
    }

    /** Guards against the same with shares of 78 workspaces, all of which have waiting items. */
    @Test
    @Tag("known-red")
    fun `an event takes less than 10 microseconds of CPU time with fair shares and placement by memory`() {
        val options = DispatchOptions(itemOrder = ItemOrderKind.FAIR_SHARE, placement = PlacementKind.MEMORY)
        val load = DispatchLoad(items = 500, options = options).apply { fill() }
        val rounds = (1..ROUNDS).map { load.microsecondsPerEvent(STEPS) }
        println("the same with fair shares and placement by memory: ${rounds.map { "%.2f".format(it) }}")
        expectThat(rounds.min()).isLessThan(MICROSECONDS_PER_EVENT)
    }

    private companion object {
        /** One pass per model, and five for the service, event intervals and probes, for any number of items. */
        const val EXAMINATIONS = (MODELS + 5L) * UPSTREAMS

        /** The target is a few tens of microseconds for all tasks of an event, of which scheduling is one. */
        const val MICROSECONDS_PER_EVENT = 10.0
        const val ROUNDS = 8
        const val WAITING = 276

        /** Each step handles one event of each run. */
        const val STEPS = 100
    }
}
