package org.zinniahoist.policy.sampling

import org.zinniahoist.model.Moment
import org.zinniahoist.model.SampleIdentifier

/** Decides which sample of a trainer's steps starts next, and which straggler gets a second attempt. */
public interface SampleScheduler {
    /** Samples that are not finished. */
    public val remaining: Int

    /** Adds the samples of a step. */
    public fun add(samples: List<PlannedSample>, now: Moment)

    /** Returns the next attempt to start, or null if none should start now. */
    public fun next(supply: SlotSupply, now: Moment): StartSample?

    /** Records that a running attempt has produced [tokens] so far. */
    public fun onProgress(
        sample: SampleIdentifier,
        attempt: Int,
        tokens: Int,
        now: Moment,
    )

    /** Records a finished attempt. Returns the attempts of the sample that lost and are to be cancelled. */
    public fun onFinished(
        sample: SampleIdentifier,
        attempt: Int,
        tokens: Int,
        now: Moment,
    ): List<CancelSample>

    /** Records that an attempt ended without a result after [tokens]. The sample starts again if no other runs. */
    public fun onFailed(
        sample: SampleIdentifier,
        attempt: Int,
        tokens: Int,
        now: Moment,
    )
}

/** A sample to draft. */
public data class PlannedSample(
    public val identifier: SampleIdentifier,
    public val maximumTokens: Int,
)

/**
 * An attempt to start.
 *
 * @property attempt number of the attempt of this sample, from 1.
 * @property hedge whether another attempt of the sample runs.
 * @property spread whether the attempt should go to the engine with the shortest wait, whatever the prefix cache holds.
 */
public data class StartSample(
    public val identifier: SampleIdentifier,
    public val attempt: Int,
    public val hedge: Boolean,
    public val expectedTokens: Double,
    public val spread: Boolean,
)

/** An attempt to cancel. */
public data class CancelSample(
    public val identifier: SampleIdentifier,
    public val attempt: Int,
)
