package org.zinniahoist.state.samples

import kotlinx.serialization.Serializable
import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.FencingToken
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Label
import org.zinniahoist.model.Step
import org.zinniahoist.model.StepNumber
import org.zinniahoist.model.TrainerName
import org.zinniahoist.model.WeightVersion

/** State of a [SampleLedger] in a snapshot. */
@Serializable
public class SampleState internal constructor(internal val trainers: Map<TrainerName, TrainerState>)

@Serializable
internal data class TrainerState(
    val steps: List<StepState>,
    val finished: Map<StepNumber, Int>,
    val highestForgotten: StepNumber?,
    val lease: Lease?,
    val version: WeightVersion?,
)

@Serializable
internal data class StepState(
    val step: Step,
    val results: List<Result?>,
    val acknowledged: List<Boolean>,
)

@Serializable
internal data class Result(
    val attempt: AttemptIdentifier,
    val label: Label,
)

@Serializable
internal data class Lease(
    val holder: InstanceName,
    val token: FencingToken,
    val expiresAtMilliseconds: Long,
)
