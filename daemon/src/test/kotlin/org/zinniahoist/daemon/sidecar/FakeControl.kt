package org.zinniahoist.daemon.sidecar

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import org.zinniahoist.daemon.control.ControlClient
import org.zinniahoist.daemon.control.ControlResult
import org.zinniahoist.state.StateCodec
import org.zinniahoist.state.coordination.CoordinationCommand
import org.zinniahoist.state.coordination.CoordinationStateMachine
import org.zinniahoist.state.coordination.Order
import org.zinniahoist.state.ledger.LedgerCommand
import org.zinniahoist.state.ledger.LedgerStateMachine
import kotlin.time.Duration

/** The consensus groups in memory, with faults. */
internal class FakeControl : ControlClient {
    private val ledger = LedgerStateMachine()
    private val coordination = CoordinationStateMachine()
    private val delayed = mutableListOf<ByteArray>()
    private var index = 0L

    /** Commands that were applied, in order. */
    val applied = MutableStateFlow<List<LedgerCommand>>(emptyList())

    val claims: Int get() = applied.value.count { it is LedgerCommand.Claim }

    /** Decides how a ledger command fares. */
    @Volatile
    var fault: (LedgerCommand) -> Fault = { Fault.NONE }

    /** Whether the caller of a command with a lost answer waits until it gives up itself. */
    @Volatile
    var holdAnswers = false

    /** Whether queries find no majority. */
    @Volatile
    var holdQueries = false

    enum class Fault { NONE, UNAVAILABLE, ANSWER_LOST_AND_LATE }

    override suspend fun command(group: String, command: ByteArray, timeout: Duration): ControlResult {
        check(group == LEDGER)
        val decoded = StateCodec.decode<LedgerCommand>(command)
        return when (fault(decoded)) {
            Fault.NONE -> ControlResult.Answered(applyToLedger(command))
            Fault.UNAVAILABLE -> ControlResult.NotApplied("no majority")
            Fault.ANSWER_LOST_AND_LATE -> {
                synchronized(this) { delayed += command }
                if (holdAnswers) awaitCancellation()
                ControlResult.OutcomeUnknown("no answer")
            }
        }
    }

    override suspend fun query(group: String, query: ByteArray, timeout: Duration): ControlResult = if (holdQueries) {
        ControlResult.NotApplied("no majority")
    } else {
        synchronized(this) { ControlResult.Answered(coordination.query(0, query)) }
    }

    /** Commits the commands whose answers were lost. */
    fun commitLate() = synchronized(this) { delayed.toList().also { delayed.clear() } }.forEach(::applyToLedger)

    fun issue(order: Order): Unit = synchronized(this) {
        index += 1
        coordination.perform(index, 0, CoordinationCommand.IssueOrder(SidecarScenario.INSTANCE, order))
    }

    suspend fun await(condition: (List<LedgerCommand>) -> Boolean) {
        applied.first(condition)
    }

    @Synchronized
    private fun applyToLedger(command: ByteArray): ByteArray {
        index += 1
        val answer = ledger.apply(index, 0, command)
        applied.value += StateCodec.decode<LedgerCommand>(command)
        return answer
    }

    companion object {
        const val LEDGER = "ledger-r"
    }
}
