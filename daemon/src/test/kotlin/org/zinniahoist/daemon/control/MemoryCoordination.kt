package org.zinniahoist.daemon.control

import org.zinniahoist.state.coordination.CoordinationStateMachine
import kotlin.time.Duration

/** The group `settings` without replicas. */
internal class MemoryCoordination : ControlClient {
    val machine = CoordinationStateMachine()
    private var index = 0L

    /** Replaces the result of a command after it was applied; null stands for the real result. */
    @Volatile
    var resultOfNextCommand: ControlResult? = null

    @Volatile
    var available = true

    override suspend fun command(group: String, command: ByteArray, timeout: Duration): ControlResult =
        synchronized(this) {
            if (!available) return ControlResult.NotApplied("no majority")
            val answer = ControlResult.Answered(machine.apply(++index, TIME, command))
            resultOfNextCommand.also { resultOfNextCommand = null } ?: answer
        }

    override suspend fun query(group: String, query: ByteArray, timeout: Duration): ControlResult = synchronized(this) {
        if (!available) return ControlResult.NotApplied("no majority")
        ControlResult.Answered(machine.query(TIME, query))
    }

    private companion object {
        const val TIME = 1_000L
    }
}
