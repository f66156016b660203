package org.zinniahoist.policy.dispatch

import org.junit.jupiter.api.Test
import org.zinniahoist.policy.dispatch.DispatchLoad.Companion.MODELS
import org.zinniahoist.policy.dispatch.DispatchLoad.Companion.UPSTREAMS
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

/** What the decisions of a site with 28 upstreams of 8 places cost, of which each has all models. */
internal class DispatchCostTest {
    /** Guards against placing that looks at the upstreams for each waiting item. */
    @Test
    fun `the upstreams that a run's end examines do not grow with the waiting items`() {
        val few = DispatchLoad(items = 500).apply { fill() }.examinedAtRunEnd()
        val many = DispatchLoad(items = 2_000).apply { fill() }.examinedAtRunEnd()
        expectThat(many).isEqualTo(few)
        expectThat(few).isLessThan(EXAMINATIONS)
    }

    /** Guards against a search for stalls that looks at the upstreams for each run. */
    @Test
    fun `the upstreams that a tick examines do not grow with the runs`() {
        val few = DispatchLoad(items = WAITING + 2 * UPSTREAMS, slots = 2).apply { fill() }.examinedAtTick()
        val many = DispatchLoad(items = WAITING + 8 * UPSTREAMS, slots = 8).apply { fill() }.examinedAtTick()
        expectThat(many).isEqualTo(few)
        expectThat(few).isLessThan(EXAMINATIONS)
    }

    /** Guards against a leader whose decisions take its processor: all that follows an event, by the thread's clock. */
    @Test
    fun `an event costs a few hundredths of a millisecond of processor time`() {
        val load = DispatchLoad(items = 500).apply { fill() }
        val rounds = (1..ROUNDS).map { load.microsecondsPerEvent(STEPS) }
        println("microseconds of processor time for an event, by round: ${rounds.map { "%.2f".format(it) }}")
        expectThat(rounds.min()).isLessThan(MICROSECONDS_PER_EVENT)
    }

    private companion object {
        /** One pass for each model, and five for the service, paces and probes, however many items there are. */
        const val EXAMINATIONS = (MODELS + 5L) * UPSTREAMS

        /** The target is a few hundredths of a millisecond for all tasks of an event, of which this is one part. */
        const val MICROSECONDS_PER_EVENT = 10.0
        const val ROUNDS = 8
        const val WAITING = 276

        /** One event of each run a step. */
        const val STEPS = 100
    }
}
