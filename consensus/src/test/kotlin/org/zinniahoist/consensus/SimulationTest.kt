package org.zinniahoist.consensus

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

internal class SimulationTest {
    @Nested
    inner class `A correct group` {
        /** Guards against lost writes, two leaders in a term, diverging logs, stale reads and stalled groups. */
        @Test
        fun `keeps its guarantees under all faults`() {
            for (seed in (1L..400L) + 21_794L) expectThat(Simulation.check(seed)).describedAs("seed $seed").isNull()
        }

        /**
         * Guards against a replacement that needs the vote of an erased disk for a majority. Without joint
         * configurations, these seeds ended with two replicas with a log that could not elect a leader. In the last
         * two, a learner with the longest log repeatedly stepped down before a majority held its log.
         */
        @ParameterizedTest
        @ValueSource(longs = [913_164, 1_000_807, 1_102_839, 1_104_298, 961_758, 1_014_256])
        fun `recovers after a disk is lost during each replacement`(seed: Long) {
            expectThat(Simulation.check(seed)).isNull()
        }

        /** Guards against nondeterminism, which would make failures irreproducible. */
        @Test
        fun `is deterministic for a given seed`() {
            expectThat(trace(7)).isEqualTo(trace(7))
        }

        private fun trace(seed: Long): List<String> = buildList { Simulation(seed, trace = ::add).run() }
    }

    @Nested
    inner class `An injected bug` {
        /** Guards against checks that can't fail. */
        @ParameterizedTest
        @EnumSource(names = ["NONE"], mode = EnumSource.Mode.EXCLUDE)
        fun `is detected`(bug: InjectedBug) {
            val failure = (1L..400L).firstNotNullOfOrNull { Simulation.check(it, bug) }
            expectThat(failure).describedAs("failure with $bug").isNotNull()
        }
    }
}
