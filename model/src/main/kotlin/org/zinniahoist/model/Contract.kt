package org.zinniahoist.model

import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The terms under which a caller is served. */
@Serializable
public data class Contract(
    public val caller: CallerName,
    public val homeRegion: Region,
    public val maximumConcurrency: Int = 64,
    public val defaultBudget: Duration = 60.seconds,
    public val nonIdempotentServices: Set<ServiceName> = emptySet(),
)

/** The terms under which a trainer is served. */
@Serializable
public data class TrainingContract(
    public val trainer: TrainerName,
    public val homeRegion: Region,
    public val model: ModelName,
    /** Largest allowed difference between the trainer's version and the oldest version in a label. */
    public val stalenessBound: Int = 1,
    /** Share of engine time relative to other trainers. */
    public val weight: Int = 1,
    /** Preference between idle time (0) and staleness (1). */
    public val stalenessPreference: Double = 0.5,
)
