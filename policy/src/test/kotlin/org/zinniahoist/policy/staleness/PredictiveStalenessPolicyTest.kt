package org.zinniahoist.policy.staleness

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.zinniahoist.model.WeightVersion
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

class PredictiveStalenessPolicyTest {
    private val policy = PredictiveStalenessPolicy()

    private fun forecast(
        engine: Long,
        remaining: Int,
        untilNext: Int?,
        preference: Double = 0.5,
        total: Int = remaining,
    ) = SampleForecast(
        trainerVersion = WeightVersion(10),
        oldestVersion = WeightVersion(engine),
        expectedRemaining = remaining.seconds,
        expectedTotal = total.seconds,
        untilNextWeights = untilNext?.seconds,
        weightsInterval = 180.seconds,
        terms = StalenessSettings(bound = 1, preference),
    )

    @Nested
    inner class BeforeStart {
        /** Guards against generating tokens of a sample that can't be delivered. */
        @Test
        fun `waits when the sample would exceed the bound`() {
            expectThat(policy.beforeStart(forecast(engine = 8, remaining = 10, untilNext = null)))
                .isEqualTo(StartDecision.WAIT_FOR_WEIGHTS)
            expectThat(policy.beforeStart(forecast(engine = 9, remaining = 100, untilNext = 50)))
                .isEqualTo(StartDecision.WAIT_FOR_WEIGHTS)
            expectThat(policy.beforeStart(forecast(engine = 9, remaining = 30, untilNext = 50)))
                .isEqualTo(StartDecision.START)
        }

        /** Guards against a preference setting without effect. */
        @Test
        fun `waits for weights that arrive soon only if the preference for low staleness is high`() {
            val decisions = listOf(0.0, 0.2, 0.8, 1.0).map {
                policy.beforeStart(forecast(engine = 10, remaining = 100, untilNext = 60, preference = it))
            }

            expectThat(decisions).isEqualTo(
                listOf(
                    StartDecision.START,
                    StartDecision.START,
                    StartDecision.WAIT_FOR_WEIGHTS,
                    StartDecision.WAIT_FOR_WEIGHTS,
                ),
            )
        }

        /** Guards against a deadlock: a step that waits for weights which depend on the step itself. */
        @Test
        fun `starts when no weights are expected`() {
            expectThat(policy.beforeStart(forecast(engine = 9, remaining = 900, untilNext = null, preference = 1.0)))
                .isEqualTo(StartDecision.START)
        }
    }

    @Nested
    inner class WhileRunning {
        /** Guards against spending engine time on a sample that will be discarded at delivery. */
        @Test
        fun `abandons a sample that a restart would deliver within the bound`() {
            val late = forecast(engine = 9, remaining = 100, untilNext = 50, total = 40)

            expectThat(policy.whileRunning(late)).isEqualTo(RunDecision.ABANDON)
            expectThat(policy.whileRunning(late.copy(expectedRemaining = 40.seconds))).isEqualTo(RunDecision.CONTINUE)
            expectThat(policy.whileRunning(late.copy(oldestVersion = WeightVersion(8)))).isEqualTo(RunDecision.ABANDON)
        }

        /** Guards against abandoning a sample whose restart would exceed the bound as well. */
        @Test
        fun `continues when a restart would not meet the bound either`() {
            val hopeless = forecast(engine = 9, remaining = 100, untilNext = 50, total = 400)

            expectThat(policy.whileRunning(hopeless)).isEqualTo(RunDecision.CONTINUE)
        }

        @Test
        fun `abandons earlier the higher the preference for low staleness is`() {
            val near = forecast(engine = 9, remaining = 52, untilNext = 50, total = 40)

            expectThat(policy.whileRunning(near.copy(terms = StalenessSettings(1, 0.0))))
                .isEqualTo(RunDecision.CONTINUE)
            expectThat(policy.whileRunning(near.copy(terms = StalenessSettings(1, 1.0)))).isEqualTo(RunDecision.ABANDON)
        }
    }

    @Nested
    inner class AtDelivery {
        /** Guards against delivering a sample that met the bound at completion but exceeds it at delivery. */
        @Test
        fun `enforces the bound at any preference`() {
            for (preference in listOf(0.0, 1.0)) {
                val terms = StalenessSettings(bound = 2, preference)
                expectThat(policy.atDelivery(WeightVersion(8), WeightVersion(10), terms))
                    .isEqualTo(DeliveryDecision.DELIVER)
                expectThat(policy.atDelivery(WeightVersion(7), WeightVersion(10), terms))
                    .isEqualTo(DeliveryDecision.DRAFT_AGAIN)
            }
        }
    }
}
