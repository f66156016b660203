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
        /** Guards against a request that runs twice when its caller repeats it through another entry. */
        @Test
        fun `grants a key to one run only`() {
            expectThat(ledger.claim(key, "digest", first, 0)).isEqualTo(ClaimResult.Granted)
            expectThat(ledger.claim(key, "digest", second, 1)).isEqualTo(ClaimResult.InProgress)
        }

        /** Guards against a lost answer of the ledger that leaves the run without its grant. */
        @Test
        fun `answers a repeated claim of the same run alike`() {
            ledger.claim(key, "digest", first, 0)

            expectThat(ledger.claim(key, "digest", first, 1)).isEqualTo(ClaimResult.Granted)
        }

        @Test
        fun `refuses another body under the same key`() {
            ledger.claim(key, "digest", first, 0)

            expectThat(ledger.claim(key, "other", second, 1)).isEqualTo(ClaimResult.BodyConflict)
        }

        @Test
        fun `keeps the keys of callers apart`() {
            ledger.claim(key, "digest", first, 0)

            expectThat(ledger.claim(key.copy(caller = CallerName("van")), "digest", second, 1))
                .isEqualTo(ClaimResult.Granted)
        }
    }

    @Nested
    inner class Releasing {
        /** Guards against a claim that commits after its sidecar has answered not-run. */
        @Test
        fun `defeats a claim that arrives later`() {
            expectThat(ledger.release(first, 0)).isTrue()

            expectThat(ledger.claim(key, "digest", first, 1)).isEqualTo(ClaimResult.RunReleased)
            expectThat(ledger.claim(key, "digest", second, 2)).isEqualTo(ClaimResult.Granted)
        }

        /** Guards against a second run of a request that has run. */
        @Test
        fun `does not free a completed key`() {
            ledger.claim(key, "digest", first, 0)
            ledger.complete(first, outcome)

            expectThat(ledger.release(first, 1)).isFalse()
            expectThat(ledger.claim(key, "digest", second, 2)).isEqualTo(ClaimResult.Completed(outcome))
        }
    }

    @Nested
    inner class Outcomes {
        @Test
        fun `are given again until the retention ends`() {
            ledger.claim(key, "digest", first, 0)
            ledger.complete(first, outcome)

            expectThat(ledger.claim(key, "digest", second, 999)).isEqualTo(ClaimResult.Completed(outcome))
            expectThat(ledger.claim(key, "digest", second, 1_000)).isEqualTo(ClaimResult.Granted)
        }

        @Test
        fun `that are unknown are never taken for not run`() {
            ledger.claim(key, "digest", first, 0)
            ledger.markUnknown(first)

            expectThat(ledger.claim(key, "digest", second, 1)).isEqualTo(ClaimResult.OutcomeUnknown)
            expectThat(ledger.claim(key, "digest", first, 1)).isEqualTo(ClaimResult.OutcomeUnknown)
        }
    }
}
