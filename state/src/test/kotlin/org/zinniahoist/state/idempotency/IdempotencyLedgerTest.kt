package org.zinniahoist.state.idempotency

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.CallerName
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class IdempotencyLedgerTest {
    private val ledger = IdempotencyLedger(retentionMilliseconds = 1_000)
    private val key = IdempotencyKey(CallerName("shop"), "basket-1")
    private val first = AttemptIdentifier("run-1")
    private val second = AttemptIdentifier("run-2")
    private val outcome = StoredOutcome(200, "application/json", "{}".encodeToByteArray())

    @Nested
    inner class Claiming {
        /** Guards against a request that is executed twice when its caller retries it through another entry. */
        @Test
        fun `grants a key to one run only`() {
            expectThat(ledger.claim(key, "digest", first, 0)).isEqualTo(ClaimResult.Granted)
            expectThat(ledger.claim(key, "digest", second, 1)).isEqualTo(ClaimResult.InProgress)
        }

        /** Guards against a run that is denied its own grant after the answer of the ledger was lost. */
        @Test
        fun `grants a repeated claim of the same run`() {
            ledger.claim(key, "digest", first, 0)

            expectThat(ledger.claim(key, "digest", first, 1)).isEqualTo(ClaimResult.Granted)
        }

        @Test
        fun `rejects a different body under the same key`() {
            ledger.claim(key, "digest", first, 0)

            expectThat(ledger.claim(key, "other", second, 1)).isEqualTo(ClaimResult.BodyConflict)
        }

        @Test
        fun `separates the keys of different callers`() {
            ledger.claim(key, "digest", first, 0)

            expectThat(ledger.claim(key.copy(caller = CallerName("van")), "digest", second, 1))
                .isEqualTo(ClaimResult.Granted)
        }
    }

    @Nested
    inner class Releasing {
        /** Guards against a claim that is committed after its sidecar has answered not-run. */
        @Test
        fun `rejects a claim that arrives later`() {
            expectThat(ledger.release(first, 0)).isTrue()

            expectThat(ledger.claim(key, "digest", first, 1)).isEqualTo(ClaimResult.RunReleased)
            expectThat(ledger.claim(key, "digest", second, 2)).isEqualTo(ClaimResult.Granted)
        }

        /** Guards against a second execution of a completed request. */
        @Test
        fun `does not release a completed key`() {
            ledger.claim(key, "digest", first, 0)
            ledger.complete(first, outcome)

            expectThat(ledger.release(first, 1)).isFalse()
            expectThat(ledger.claim(key, "digest", second, 2)).isEqualTo(ClaimResult.Completed(outcome))
        }
    }

    @Nested
    inner class Outcomes {
        @Test
        fun `are replayed until the end of the retention period`() {
            ledger.claim(key, "digest", first, 0)
            ledger.complete(first, outcome)

            expectThat(ledger.claim(key, "digest", second, 999)).isEqualTo(ClaimResult.Completed(outcome))
            expectThat(ledger.claim(key, "digest", second, 1_000)).isEqualTo(ClaimResult.Granted)
        }

        @Test
        fun `that are unknown are never treated as not run`() {
            ledger.claim(key, "digest", first, 0)
            ledger.markUnknown(first)

            expectThat(ledger.claim(key, "digest", second, 1)).isEqualTo(ClaimResult.OutcomeUnknown)
            expectThat(ledger.claim(key, "digest", first, 1)).isEqualTo(ClaimResult.OutcomeUnknown)
        }
    }
}
