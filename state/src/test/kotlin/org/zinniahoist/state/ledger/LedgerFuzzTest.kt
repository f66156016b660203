package org.zinniahoist.state.ledger

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isGreaterThan

/** Random commands, lost answers, snapshots and restarts of holders against a simple oracle. */
class LedgerFuzzTest {
    /** Guards against duplicates and losses through retries, takeovers, discards and snapshots. */
    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 5, 8, 13, 21, 34, 55, 89])
    fun `keeps its promises under random schedules`(seed: Int) {
        val run = LedgerFuzzRun(seed, operations = 4_000)

        run.execute()

        expectThat(run.grants).isGreaterThan(50)
        expectThat(run.acknowledged).isGreaterThan(50)
    }

    /** Shows that the oracle notices a ledger that forgets who holds a key. */
    @Test
    fun `fails when claims are not kept`() {
        assertThrows<AssertionError> {
            LedgerFuzzRun(1, operations = 4_000, fault = PlantedFault.FORGET_CLAIMS).execute()
        }
    }

    /** Shows that the oracle notices a holder that records under an old token. */
    @Test
    fun `fails when fencing tokens are ignored`() {
        assertThrows<AssertionError> {
            LedgerFuzzRun(1, operations = 4_000, fault = PlantedFault.IGNORE_TOKENS).execute()
        }
    }
}
