package org.zinniahoist.state.ledger

import kotlinx.serialization.Serializable
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.TrainerName
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.state.crashes.SuspectStart
import org.zinniahoist.state.idempotency.ClaimResult
import org.zinniahoist.state.samples.Deliverable
import org.zinniahoist.state.samples.LeaseResult
import org.zinniahoist.state.samples.RecordResult
import org.zinniahoist.state.samples.SubmitResult

/** Answer to a [LedgerCommand] or a [LedgerQuery]. */
@Serializable
public sealed interface LedgerAnswer {
    /** Answer to [LedgerCommand.Claim]. */
    @Serializable
    public data class Claimed(public val result: ClaimResult) : LedgerAnswer

    /** Answer to a command without a result; [changed] is false if it had no effect. */
    @Serializable
    public data class Done(public val changed: Boolean) : LedgerAnswer

    /** Answer to [LedgerCommand.SubmitStep]. */
    @Serializable
    public data class Submitted(public val result: SubmitResult) : LedgerAnswer

    /** Answer to [LedgerCommand.AcquireLease]. */
    @Serializable
    public data class Leased(public val result: LeaseResult) : LedgerAnswer

    /** Answer to [LedgerCommand.RecordSample]. */
    @Serializable
    public data class Recorded(public val result: RecordResult) : LedgerAnswer

    /** Answer to [LedgerCommand.AcknowledgeSamples] with the number of acknowledged [samples]. */
    @Serializable
    public data class Acknowledged(public val samples: Int) : LedgerAnswer

    /** Answer to [LedgerCommand.AnnounceVersion] with the latest weight version of the trainer. */
    @Serializable
    public data class Announced(public val version: WeightVersion) : LedgerAnswer

    /** Answer to [LedgerQuery.ReadDeliverable]; null if the lease has another fencing token. */
    @Serializable
    public data class Deliverables(public val deliverable: Deliverable?) : LedgerAnswer

    /** Answer to [LedgerQuery.ReadOpenTrainers]. */
    @Serializable
    public data class OpenTrainers(public val trainers: List<TrainerName>) : LedgerAnswer

    /** Answer to [LedgerQuery.ReadHolder]; null if no instance holds the lease. */
    @Serializable
    public data class Holder(public val holder: InstanceName?) : LedgerAnswer

    /** Answer to [LedgerQuery.ReadSizes]. */
    @Serializable
    public data class Sizes(
        public val idempotencyKeys: Int,
        public val openTrainers: Int,
    ) : LedgerAnswer

    /** Answer to [LedgerCommand.StartSuspect]. */
    @Serializable
    public data class SuspectStarted(public val start: SuspectStart) : LedgerAnswer

    /** Answer to [LedgerQuery.ReadSuspects] with the number of crashes by request fingerprint. */
    @Serializable
    public data class Suspects(public val crashes: Map<Long, Int>) : LedgerAnswer

    /** The command or query could not be decoded. */
    @Serializable
    public data class Malformed(public val cause: String) : LedgerAnswer
}
