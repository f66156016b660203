package org.zinniahoist.state.ledger

import kotlinx.serialization.Serializable
import org.zinniahoist.model.FencingToken
import org.zinniahoist.model.TrainerName

/** A read of the state of a `ledger` group. */
@Serializable
public sealed interface LedgerQuery {
    /** Reads what the holder of [token] may deliver. Answered by [LedgerAnswer.Deliverables]. */
    @Serializable
    public data class ReadDeliverable(
        public val trainer: TrainerName,
        public val token: FencingToken,
    ) : LedgerQuery

    /** Reads the trainers that have samples to draft. Answered by [LedgerAnswer.OpenTrainers]. */
    @Serializable
    public data object ReadOpenTrainers : LedgerQuery

    /** Reads the entry that holds the lease of [trainer]. Answered by [LedgerAnswer.Holder]. */
    @Serializable
    public data class ReadHolder(public val trainer: TrainerName) : LedgerQuery

    /** Reads the sizes of the ledgers. Answered by [LedgerAnswer.Sizes]. */
    @Serializable
    public data object ReadSizes : LedgerQuery

    /** Reads the requests that are suspected of crashing upstreams. Answered by [LedgerAnswer.Suspects]. */
    @Serializable
    public data object ReadSuspects : LedgerQuery
}
