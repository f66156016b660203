package org.zinniahoist.state.ledger

import kotlinx.serialization.Serializable
import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.FencingToken
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Label
import org.zinniahoist.model.SampleIdentifier
import org.zinniahoist.model.Step
import org.zinniahoist.model.TrainerName
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.state.idempotency.IdempotencyKey
import org.zinniahoist.state.idempotency.StoredOutcome

/** A command that changes the state of a `ledger` consensus group. */
@Serializable
public sealed interface LedgerCommand {
    /** Claims [key] for [run] before the request is sent. Answered by [LedgerAnswer.Claimed]. */
    @Serializable
    public data class Claim(
        public val key: IdempotencyKey,
        public val bodyDigest: String,
        public val run: AttemptIdentifier,
    ) : LedgerCommand

    /** Stores the outcome of [run]. Answered by [LedgerAnswer.Done]. */
    @Serializable
    public data class Complete(
        public val run: AttemptIdentifier,
        public val outcome: StoredOutcome,
    ) : LedgerCommand

    /** Records that the outcome of [run] is unknown. Answered by [LedgerAnswer.Done]. */
    @Serializable
    public data class MarkUnknown(public val run: AttemptIdentifier) : LedgerCommand

    /** Releases the key of a [run] that has not sent its request. Answered by [LedgerAnswer.Done]. */
    @Serializable
    public data class Release(public val run: AttemptIdentifier) : LedgerCommand

    /** Stores [step] of a trainer. Answered by [LedgerAnswer.Submitted]. */
    @Serializable
    public data class SubmitStep(public val step: Step) : LedgerCommand

    /** Acquires or renews the lease of [trainer]. Answered by [LedgerAnswer.Leased]. */
    @Serializable
    public data class AcquireLease(
        public val trainer: TrainerName,
        public val holder: InstanceName,
        public val current: FencingToken? = null,
    ) : LedgerCommand

    /** Ends the lease of [trainer] that has the fencing [token]. Answered by [LedgerAnswer.Done]. */
    @Serializable
    public data class SurrenderLease(
        public val trainer: TrainerName,
        public val token: FencingToken,
    ) : LedgerCommand

    /** Submits the result of [attempt] for [sample]. Answered by [LedgerAnswer.Recorded]. */
    @Serializable
    public data class RecordSample(
        public val sample: SampleIdentifier,
        public val token: FencingToken,
        public val attempt: AttemptIdentifier,
        public val label: Label,
    ) : LedgerCommand

    /** Discards a result that exceeds the staleness bound or was lost. Answered by [LedgerAnswer.Done]. */
    @Serializable
    public data class DiscardSample(
        public val sample: SampleIdentifier,
        public val token: FencingToken,
        public val attempt: AttemptIdentifier,
    ) : LedgerCommand

    /** Marks samples as received by their trainer. Answered by [LedgerAnswer.Acknowledged]. */
    @Serializable
    public data class AcknowledgeSamples(
        public val trainer: TrainerName,
        public val samples: List<SampleIdentifier>,
    ) : LedgerCommand

    /** Stores the weight version that [trainer] has reached. Answered by [LedgerAnswer.Announced]. */
    @Serializable
    public data class AnnounceVersion(
        public val trainer: TrainerName,
        public val version: WeightVersion,
    ) : LedgerCommand

    /** Records the crash of an upstream that was executing these requests. Answered by [LedgerAnswer.Done]. */
    @Serializable
    public data class ReportCrash(public val fingerprints: Set<Long>) : LedgerCommand

    /** Requests admission of a suspected request to [instance]. Answered by [LedgerAnswer.SuspectStarted]. */
    @Serializable
    public data class StartSuspect(
        public val fingerprint: Long,
        public val instance: InstanceName,
    ) : LedgerCommand

    /** Records that the execution of a suspected request ended without a crash. Answered by [LedgerAnswer.Done]. */
    @Serializable
    public data class EndSuspect(
        public val fingerprint: Long,
        public val instance: InstanceName,
        public val finished: Boolean,
    ) : LedgerCommand
}
