package org.zinniahoist.state.ledger

import kotlinx.serialization.Serializable
import org.zinniahoist.model.FencingToken
import org.zinniahoist.model.TrainerName

/** A query for the state of a `ledger` consensus group. */
@Serializable
public sealed interface LedgerQuery {
    /** Reads the results that the lease holder with [token] may deliver. Answered by [LedgerAnswer.Deliverables]. */
    @Serializable
    public data class ReadDeliverable(
        public val trainer: TrainerName,
        public val token: FencingToken,
    ) : LedgerQuery

    /** Reads the trainers with unacknowledged samples. Answered by [LedgerAnswer.OpenTrainers]. */
    @Serializable
    public data object ReadOpenTrainers : LedgerQuery

    /** Reads the entry instance that holds the lease of [trainer]. Answered by [LedgerAnswer.Holder]. */
    @Serializable
    public data class ReadHolder(public val trainer: TrainerName) : LedgerQuery

    /** Reads the numbers of idempotency keys and open trainers. Answered by [LedgerAnswer.Sizes]. */
    @Serializable
    public data object ReadSizes : LedgerQuery

    /** Reads the requests that are suspected of crashing upstreams. Answered by [LedgerAnswer.Suspects]. */
    @Serializable
    public data object ReadSuspects : LedgerQuery
}
