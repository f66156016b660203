package org.zinniahoist.policy.sampling

import org.zinniahoist.model.Moment
import org.zinniahoist.model.SampleIdentifier

/** Decides which sample of a trainer starts next, and which straggler is hedged with a second attempt. */
public interface SampleScheduler {
    /** Number of samples that are not completed. */
    public val remaining: Int

    /** Adds the samples of a step. */
    public fun add(samples: List<PlannedSample>, now: Moment)

    /** Returns the next attempt to start, or null if no attempt should start now. */
    public fun next(supply: SlotSupply, now: Moment): StartSample?

    /** Records that a running attempt has generated [tokens] tokens in total. */
    public fun onProgress(
        sample: SampleIdentifier,
        attempt: Int,
        tokens: Int,
        now: Moment,
    )

    /** Records that an attempt completed. Returns the other attempts of the sample, which must be cancelled. */
    public fun onFinished(
        sample: SampleIdentifier,
        attempt: Int,
        tokens: Int,
        now: Moment,
    ): List<CancelSample>

    /** Records that an attempt failed after [tokens] tokens. Requeues the sample if no other attempt of it runs. */
    public fun onFailed(
        sample: SampleIdentifier,
        attempt: Int,
        tokens: Int,
        now: Moment,
    )
}

/** A sample to generate. */
public data class PlannedSample(
    public val identifier: SampleIdentifier,
    public val maximumTokens: Int,
)

/**
 * Attempt to start.
 *
 * @property attempt number of the attempt within the sample, starting at 1.
 * @property hedge whether another attempt of the sample is running.
 * @property expectedTokens estimated length of the sample in tokens.
 * @property spread whether to route the attempt by queueing delay only, without prefix affinity.
 */
public data class StartSample(
    public val identifier: SampleIdentifier,
    public val attempt: Int,
    public val hedge: Boolean,
    public val expectedTokens: Double,
    public val spread: Boolean,
)

/** Attempt to cancel. */
public data class CancelSample(
    public val identifier: SampleIdentifier,
    public val attempt: Int,
)
