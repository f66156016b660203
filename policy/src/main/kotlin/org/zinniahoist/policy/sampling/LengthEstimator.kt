package org.zinniahoist.policy.sampling

/** Estimates the length of samples from the lengths of completed samples. */
public interface LengthEstimator {
    /** Records the length of a completed sample of [group], in tokens. */
    public fun observe(group: GroupKey, tokens: Int)

    /** Estimates the total length of a sample of [group] of which [generated] tokens have been generated. */
    public fun estimate(group: GroupKey, generated: Int, maximumTokens: Int): LengthEstimate
}

/** Identifies a group within a step of a trainer. */
public data class GroupKey(
    public val step: Long,
    public val group: Int,
)

/**
 * Estimated length of a sample in tokens.
 *
 * @property expected mean.
 * @property upper length that about one sample in ten exceeds.
 */
public data class LengthEstimate(
    public val expected: Double,
    public val upper: Double,
)

/** Baseline estimator: expects every sample to reach half of its token limit. */
public class FixedLengthEstimator : LengthEstimator {
    override fun observe(group: GroupKey, tokens: Int): Unit = Unit

    override fun estimate(group: GroupKey, generated: Int, maximumTokens: Int): LengthEstimate =
        LengthEstimate(maxOf(generated, maximumTokens / 2).toDouble(), maximumTokens.toDouble())
}
