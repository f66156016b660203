package org.zinniahoist.model

import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Quotas and defaults that apply to the requests of a caller. */
@Serializable
public data class Contract(
    public val caller: CallerName,
    public val homeRegion: Region,
    public val maximumConcurrency: Int = 64,
    public val defaultBudget: Duration = 60.seconds,
    public val nonIdempotentServices: Set<ServiceName> = emptySet(),
)

/** Scheduling and staleness settings that apply to the samples of a trainer. */
@Serializable
public data class TrainingContract(
    public val trainer: TrainerName,
    public val homeRegion: Region,
    public val model: ModelName,
    /** Maximum difference between the trainer's weight version and the oldest version in a label. */
    public val stalenessBound: Int = 1,
    /** Share of engine time relative to other trainers. */
    public val weight: Int = 1,
    /** Trade-off between trainer idle time and staleness, from 0 (minimise idle time) to 1 (minimise staleness). */
    public val stalenessPreference: Double = 0.5,
)
