package org.zinniahoist.daemon.entry

import org.zinniahoist.daemon.control.ControlClient
import org.zinniahoist.daemon.control.ControlResult
import org.zinniahoist.state.ledger.LedgerStateMachine
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/** In-memory ledger group without replication; the test advances its clock. */
internal class MemoryControl : ControlClient {
    private val machine = LedgerStateMachine()
    private var index = 0L
    val time = AtomicLong(1_000_000)

    @Volatile
    var available = true

    override suspend fun command(group: String, command: ByteArray, timeout: Duration): ControlResult =
        synchronized(this) {
            if (available) {
                ControlResult.Answered(machine.apply(++index, time.get(), command))
            } else {
                ControlResult.NotApplied("no majority")
            }
        }

    override suspend fun query(group: String, query: ByteArray, timeout: Duration): ControlResult = synchronized(this) {
        if (available) {
            ControlResult.Answered(machine.query(time.get(), query))
        } else {
            ControlResult.NotApplied("no majority")
        }
    }
}
