package org.zinniahoist.daemon.control

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.zinniahoist.state.StateCodec
import org.zinniahoist.state.ledger.LedgerAnswer
import org.zinniahoist.state.ledger.LedgerCommand
import org.zinniahoist.state.ledger.LedgerQuery

/** Typed access to the `ledger` groups. */
public class LedgerClient(private val control: ControlClient) {
    /** Applies [command] in the ledger group [group]. */
    public suspend fun command(group: String, command: LedgerCommand): Either<ControlFailure, LedgerAnswer> =
        decode(control.command(group, StateCodec.encode(command)))

    /** Answers [query] in the ledger group [group]. */
    public suspend fun query(group: String, query: LedgerQuery): Either<ControlFailure, LedgerAnswer> =
        decode(control.query(group, StateCodec.encode(query)))

    private fun decode(result: ControlResult): Either<ControlFailure, LedgerAnswer> = when (result) {
        is ControlResult.Answered -> StateCodec.decode<LedgerAnswer>(result.content).right()
        is ControlResult.NotApplied -> ControlFailure(result.reason, mayHaveEffect = false).left()
        is ControlResult.OutcomeUnknown -> ControlFailure(result.reason, mayHaveEffect = true).left()
    }
}

/** A call of a consensus group got no answer. */
public data class ControlFailure(
    public val reason: String,
    public val mayHaveEffect: Boolean,
)
