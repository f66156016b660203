package org.zinniahoist.state.samples

import kotlinx.serialization.Serializable
import org.zinniahoist.model.FencingToken
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.SampleIdentifier
import org.zinniahoist.model.Step
import org.zinniahoist.model.WeightVersion

/** Outcome of the submission of a step. */
@Serializable
public enum class SubmitResult {
    /** The step is stored. */
    ACCEPTED,

    /** The same step was stored before. */
    REPEATED,

    /** A different step with the same number was stored before. */
    CONFLICT,

    /** The step number is older than the retained finished steps. */
    TOO_OLD,

    /** The trainer has reached the maximum number of open steps. */
    TOO_MANY_OPEN_STEPS,
}

/** Outcome of a request for the lease of a trainer. */
@Serializable
public sealed interface LeaseResult {
    /** The requester holds the lease with the fencing [token] and schedules the unacknowledged samples of [open]. */
    @Serializable
    public data class Held(
        public val token: FencingToken,
        public val open: List<OpenStep>,
        public val trainerVersion: WeightVersion?,
    ) : LeaseResult

    /** Another instance holds the lease, which expires in [remainingMilliseconds] unless it is renewed. */
    @Serializable
    public data class HeldByOther(
        public val holder: InstanceName,
        public val remainingMilliseconds: Long,
    ) : LeaseResult

    /** The ledger has no record of the trainer. */
    @Serializable
    public data object UnknownTrainer : LeaseResult
}

/** A step with unacknowledged samples, and its [acknowledged] samples. */
@Serializable
public data class OpenStep(
    public val step: Step,
    public val acknowledged: List<SampleIdentifier>,
)

/** Outcome of the submission of a result for a sample. */
@Serializable
public enum class RecordResult {
    /** The result is recorded. */
    RECORDED,

    /** The result of another attempt is already recorded. */
    DUPLICATE,

    /** The sample is already acknowledged. */
    ACKNOWLEDGED,

    /** The lease has ended or has another fencing token. */
    FENCED,

    /** The trainer, step or sample is unknown. */
    UNKNOWN_SAMPLE,
}
