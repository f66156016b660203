package org.zinniahoist.state.samples

import kotlinx.serialization.Serializable
import org.zinniahoist.model.FencingToken
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.SampleIdentifier
import org.zinniahoist.model.Step
import org.zinniahoist.model.WeightVersion

/** Answer to the submission of a step. */
@Serializable
public enum class SubmitResult {
    /** The step is stored. */
    ACCEPTED,

    /** The same step was stored before. */
    REPEATED,

    /** A step with the same number and other groups was stored before. */
    CONFLICT,

    /** The step's number is below the numbers for which results are kept. */
    TOO_OLD,

    /** The trainer has as many open steps as it may have. */
    TOO_MANY_OPEN_STEPS,
}

/** Answer to a request for a trainer's lease. */
@Serializable
public sealed interface LeaseResult {
    /** The entry holds the lease with [token] and drafts the samples in [open]. */
    @Serializable
    public data class Held(
        public val token: FencingToken,
        public val open: List<OpenStep>,
        public val trainerVersion: WeightVersion?,
    ) : LeaseResult

    /** Another entry holds the lease for at most [remainingMilliseconds] unless it renews it. */
    @Serializable
    public data class HeldByOther(
        public val holder: InstanceName,
        public val remainingMilliseconds: Long,
    ) : LeaseResult

    /** The ledger knows no step of the trainer. */
    @Serializable
    public data object UnknownTrainer : LeaseResult
}

/** A step with samples that are not acknowledged; [acknowledged] lists those that are. */
@Serializable
public data class OpenStep(
    public val step: Step,
    public val acknowledged: List<SampleIdentifier>,
)

/** Answer to a sample's result. */
@Serializable
public enum class RecordResult {
    /** The result is the one that counts. */
    RECORDED,

    /** Another attempt's result counts. */
    DUPLICATE,

    /** The sample was acknowledged. */
    ACKNOWLEDGED,

    /** The lease is held under a later token. */
    FENCED,

    /** The step or sample is not known. */
    UNKNOWN_SAMPLE,
}
