package org.zinniahoist.policy.poison

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

class CrashCountingRegistryTest {
    private val registry = CrashCountingRegistry()
    private val poison = Fingerprint(1)
    private val harmless = Fingerprint(2)
    private val one = InstanceName("one")
    private val two = InstanceName("two")
    private val start = Moment.ZERO

    private fun decide(fingerprint: Fingerprint, instance: InstanceName, now: Moment = start) =
        registry.decide(fingerprint, instance, now)

    private fun crashWithBothRequests() {
        registry.onStart(poison, one, start)
        registry.onStart(harmless, one, start)
        registry.onCrash(one, emptySet(), start)
    }

    @Nested
    inner class Suspects {
        /** Guards against blocking a harmless request for a second crash that another request causes. */
        @Test
        fun `never run together on an upstream`() {
            crashWithBothRequests()
            registry.onStart(poison, two, start)

            expectThat(decide(harmless, two)).isEqualTo(PoisonDecision.WAIT)
            expectThat(decide(harmless, one)).isEqualTo(PoisonDecision.ALLOW_SUSPECT)
            expectThat(decide(Fingerprint(3), two)).isEqualTo(PoisonDecision.ALLOW)
        }

        @Test
        fun `are blocked at the second crash and cleared when they complete`() {
            crashWithBothRequests()
            registry.onStart(harmless, one, start)
            registry.onEnd(harmless, one, finished = true, start)
            registry.onStart(poison, two, start)

            expectThat(registry.onCrash(two, emptySet(), start)).containsExactly(poison)
            expectThat(decide(poison, one)).isEqualTo(PoisonDecision.BLOCK)
            registry.onCrash(one, setOf(harmless), start)
            expectThat(decide(harmless, two)).isEqualTo(PoisonDecision.ALLOW_SUSPECT)
        }

        @Test
        fun `are evicted one hour after their last crash`() {
            repeat(2) { registry.onCrash(one, setOf(poison), start) }

            expectThat(decide(poison, one, start + 1.hours - 1.seconds)).isEqualTo(PoisonDecision.BLOCK)
            expectThat(decide(poison, one, start + 1.hours)).isEqualTo(PoisonDecision.ALLOW)
        }
    }

    @Nested
    inner class UncompletedRequests {
        /** Guards against a group whose samples crash many upstreams before the first crash is detected. */
        @Test
        fun `run on one upstream until a run has completed`() {
            registry.onStart(poison, one, start)

            expectThat(decide(poison, one)).isEqualTo(PoisonDecision.ALLOW)
            expectThat(decide(poison, two)).isEqualTo(PoisonDecision.WAIT)
            expectThat(registry.exclusiveInstance(poison, start)).isEqualTo(one)
            registry.onStart(poison, one, start)
            registry.onEnd(poison, one, finished = true, start)
            expectThat(decide(poison, two)).isEqualTo(PoisonDecision.ALLOW)
            expectThat(registry.exclusiveInstance(poison, start)).isNull()
        }
    }
}

/** Runs requests on upstreams. One of the requests crashes the upstream on which it runs. */
class CrashCountingRegistryPropertyTest {
    /** Guards against a third crash and against blocking a harmless request, in any order of the operations. */
    @Property(tries = 500, seed = "20261204")
    fun allowsTwoCrashesAndBlocksNoHarmlessRequest(@ForAll("operations") operations: List<Int>) {
        val registry = CrashCountingRegistry()
        val running = ArrayList<Pair<Fingerprint, InstanceName>>()
        var crashes = 0
        operations.forEachIndexed { index, operation ->
            val now = Moment.ZERO + index.seconds
            val fingerprint = Fingerprint(operation / 8 % 5L)
            val instance = InstanceName("${operation / 40 % 4}")
            if (operation % 8 < 5) {
                val decision = registry.decide(fingerprint, instance, now)
                if (fingerprint != POISON) expectThat(decision).isNotEqualTo(PoisonDecision.BLOCK)
                if (decision == PoisonDecision.ALLOW || decision == PoisonDecision.ALLOW_SUSPECT) {
                    registry.onStart(fingerprint, instance, now)
                    running.add(fingerprint to instance)
                }
            } else {
                val run = running.getOrNull(operation / 8 % (running.size + 1)) ?: return@forEachIndexed
                if (run.first == POISON) {
                    crashes += 1
                    registry.onCrash(run.second, emptySet(), now)
                    running.removeIf { it.second == run.second }
                } else {
                    registry.onEnd(run.first, run.second, finished = true, now)
                    running.remove(run)
                }
            }
            expectThat(crashes).isLessThanOrEqualTo(2)
        }
    }

    @Provide
    fun operations(): Arbitrary<List<Int>> =
        Arbitraries.integers().between(0, 10_000).list().ofMinSize(20).ofMaxSize(120)

    private companion object {
        val POISON = Fingerprint(0)
    }
}
