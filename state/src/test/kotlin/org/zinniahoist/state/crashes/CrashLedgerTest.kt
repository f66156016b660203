package org.zinniahoist.state.crashes

import org.junit.jupiter.api.Test
import org.zinniahoist.model.InstanceName
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class CrashLedgerTest {
    private val ledger = CrashLedger(retentionMilliseconds = 1_000)
    private val first = InstanceName("sampler-1")
    private val second = InstanceName("sampler-2")

    /** Guards against a request that was not blocked after two crashes and crashes a third upstream. */
    @Test
    fun `blocks a request after its second crash`() {
        ledger.report(setOf(7), 0)
        expectThat(ledger.start(7, second, 1)).isEqualTo(SuspectStart.GRANTED)

        ledger.report(setOf(7), 2)

        expectThat(ledger.start(7, first, 3)).isEqualTo(SuspectStart.BLOCKED)
    }

    /** Guards against a suspected request that runs on two upstreams at the same time and crashes both. */
    @Test
    fun `admits a suspected request to one upstream at a time`() {
        ledger.report(setOf(7), 0)
        ledger.start(7, first, 1)

        expectThat(ledger.start(7, second, 2)).isEqualTo(SuspectStart.RUNNING)
        ledger.end(7, first, finished = false)
        expectThat(ledger.start(7, second, 3)).isEqualTo(SuspectStart.GRANTED)
    }

    /** Guards against harmless requests that stay suspected because they shared an engine with the cause of a crash. */
    @Test
    fun `clears a request that finished`() {
        ledger.report(setOf(7, 8), 0)
        ledger.start(8, second, 1)
        ledger.end(8, second, finished = true)

        expectThat(ledger.suspects()).isEqualTo(mapOf(7L to 1))
    }

    @Test
    fun `keeps a request in a snapshot and evicts it after the retention period`() {
        ledger.report(setOf(7), 0)
        val restored = CrashLedger(retentionMilliseconds = 1_000).also { it.restore(ledger.capture()) }

        expectThat(restored.suspects()).isEqualTo(mapOf(7L to 1))
        expectThat(restored.start(7, first, 1_000)).isEqualTo(SuspectStart.NOT_SUSPECT)
    }
}
