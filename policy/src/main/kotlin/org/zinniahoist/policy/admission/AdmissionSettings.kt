package org.zinniahoist.policy.admission

/**
 * Settings of [FairShareQueue].
 *
 * @property liveCapacity maximum number of queued live attempts.
 * @property trainingCapacity maximum number of queued training attempts of all trainers.
 * @property consecutiveLiveStarts maximum number of live attempts that start in a row while training attempts are
 * queued. It bounds the starvation of trainers.
 * @property consecutiveGroupStarts maximum number of attempts of a trainer that start in a row in group order before
 * its oldest attempt starts. An attempt with `k` older ones starts within `(k + 1) * (consecutiveGroupStarts + 1)`
 * starts of its trainer.
 */
public data class AdmissionSettings(
    public val liveCapacity: Int = 1_024,
    public val trainingCapacity: Int = 4_096,
    public val consecutiveLiveStarts: Int = 7,
    public val consecutiveGroupStarts: Int = 7,
)
