package org.zinniahoist.state.samples

import kotlinx.serialization.Serializable
import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.SampleIdentifier
import org.zinniahoist.model.WeightVersion

/** The recorded results of a trainer that are not acknowledged, and the number of samples that it still needs. */
@Serializable
public data class Deliverable(
    public val attempts: Map<SampleIdentifier, AttemptIdentifier>,
    public val trainerVersion: WeightVersion?,
    public val remaining: Int,
) {
    internal constructor(
        attempts: List<Pair<SampleIdentifier, AttemptIdentifier>>,
        trainerVersion: WeightVersion?,
        remaining: Int,
    ) : this(attempts.toMap(), trainerVersion, remaining)
}
