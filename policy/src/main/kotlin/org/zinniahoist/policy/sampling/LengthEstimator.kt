package org.zinniahoist.policy.sampling

/** Expects the length of samples from those that finished. */
public interface LengthEstimator {
    /** Records the length of a finished sample of [group]. */
    public fun observe(group: GroupKey, tokens: Int)

    /** Expects the whole length of a sample of [group] that has [generated] tokens so far. */
    public fun estimate(group: GroupKey, generated: Int, maximumTokens: Int): LengthEstimate
}

/** Identifies a group within a trainer's step. */
public data class GroupKey(
    public val step: Long,
    public val group: Int,
)

/** Expected number of tokens, and a number that about one sample in ten exceeds. */
public data class LengthEstimate(
    public val expected: Double,
    public val upper: Double,
)

/** Baseline: all samples are expected to reach half of their limit. */
public class FixedLengthEstimator : LengthEstimator {
    override fun observe(group: GroupKey, tokens: Int): Unit = Unit

    override fun estimate(group: GroupKey, generated: Int, maximumTokens: Int): LengthEstimate =
        LengthEstimate(maxOf(generated, maximumTokens / 2).toDouble(), maximumTokens.toDouble())
}
