package org.zinniahoist.policy.admission

/**
 * Settings of [FairShareQueue].
 *
 * @property liveCapacity live attempts that may wait.
 * @property trainingCapacity attempts of all trainers that may wait.
 * @property liveStartsInRow live attempts that start between two attempts of trainers while trainers wait. This is the
 * bound on the starvation of trainers.
 * @property groupStartsInRow attempts that start in group order before the oldest attempt of the trainer starts. An
 * attempt with `k` older ones starts after at most `(k + 1) * (groupStartsInRow + 1)` starts of its trainer.
 */
public data class AdmissionSettings(
    public val liveCapacity: Int = 1_024,
    public val trainingCapacity: Int = 4_096,
    public val liveStartsInRow: Int = 7,
    public val groupStartsInRow: Int = 7,
)
