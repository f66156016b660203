package org.zinniahoist.state.samples

import kotlinx.serialization.Serializable
import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.SampleIdentifier
import org.zinniahoist.model.WeightVersion

/** The recorded, unacknowledged results of a trainer, and the number of its [remaining] unacknowledged samples. */
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
