package org.zinniahoist.state.ledger

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isGreaterThan

/** Checks the ledger against an oracle under random commands, lost answers, snapshots and restarts of lease holders. */
class LedgerFuzzTest {
    /** Guards against duplicated and lost grants and samples after retries, lease takeovers, discards and snapshots. */
    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 5, 8, 13, 21, 34, 55, 89])
    fun `keeps its invariants under random schedules`(seed: Int) {
        val run = LedgerFuzzRun(seed, operations = 4_000)

        run.execute()

        expectThat(run.grants).isGreaterThan(50)
        expectThat(run.acknowledged).isGreaterThan(50)
    }

    /** Verifies that the oracle detects a ledger that loses its idempotency claims. */
    @Test
    fun `fails when claims are lost`() {
        assertThrows<AssertionError> {
            LedgerFuzzRun(1, operations = 4_000, fault = InjectedFault.DROP_CLAIMS).execute()
        }
    }

    /** Verifies that the oracle detects a holder that records a sample with a stale fencing token. */
    @Test
    fun `fails when fencing tokens are ignored`() {
        assertThrows<AssertionError> {
            LedgerFuzzRun(1, operations = 4_000, fault = InjectedFault.IGNORE_TOKENS).execute()
        }
    }
}
