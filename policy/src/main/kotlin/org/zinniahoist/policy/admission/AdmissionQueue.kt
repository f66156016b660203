package org.zinniahoist.policy.admission

import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RefusalReason
import org.zinniahoist.model.TrainerName
import kotlin.time.Duration

/** Queues attempts at a sidecar and decides which of them gets the next free slot of the upstream. */
public interface AdmissionQueue {
    /** Number of queued attempts. */
    public val size: Int

    /** Queues an attempt, or refuses it before the upstream has received any of it. */
    public fun offer(attempt: QueuedAttempt, now: Moment): OfferResult

    /** Dequeues the next attempt to start, or returns null if no slot is free for any queued attempt. */
    public fun poll(slots: Slots, now: Moment): QueuedAttempt?

    /** Removes and returns the attempts whose deadlines have passed. Their verdict is not-run. */
    public fun expire(now: Moment): List<QueuedAttempt>

    /** Removes a queued attempt. Returns false if [attempt] is not queued. */
    public fun cancel(attempt: AttemptIdentifier): Boolean

    /** Records that a started attempt ended after it occupied a slot for [engineTime]. */
    public fun onEnd(attempt: QueuedAttempt, engineTime: Duration, now: Moment)
}

/** Source of an attempt. */
public sealed interface Origin {
    /** A live caller, which waits for the response. */
    public data object Live : Origin

    /**
     * A trainer, which gets engine time in proportion to its weight.
     *
     * @property weight weight of the trainer in fair sharing.
     * @property group identifier of the sample group within the trainer, such as `step/group`.
     * @property remainingInGroup number of samples of the group that are not completed.
     */
    public data class Training(
        public val trainer: TrainerName,
        public val weight: Int,
        public val group: String,
        public val remainingInGroup: Int,
    ) : Origin
}

/**
 * Attempt in the admission queue of a sidecar.
 *
 * @property expectedTime time for which the attempt is expected to occupy a slot.
 * @property deadline time on the clock of this process after which the response is useless to the caller.
 */
public data class QueuedAttempt(
    public val identifier: AttemptIdentifier,
    public val origin: Origin,
    public val expectedTime: Duration,
    public val deadline: Moment,
)

/**
 * Slot utilization of the upstream.
 *
 * @property running number of running attempts.
 * @property limit maximum number of running attempts.
 * @property trainingLimit number of running attempts from which no training attempt starts. The slots above it are
 * reserved for live callers.
 * @property starting number of running attempts that have not produced their first token.
 * @property startingLimit number of attempts without a first token from which no training attempt starts, because a
 * live attempt would be queued behind their prefills in the upstream.
 */
public data class Slots(
    public val running: Int,
    public val limit: Int,
    public val trainingLimit: Int = limit,
    public val starting: Int = 0,
    public val startingLimit: Int = Int.MAX_VALUE,
) {
    /** Whether a training attempt may start. A training attempt that the starvation bound makes due ignores this. */
    internal val acceptsTraining: Boolean get() = running < trainingLimit && starting < startingLimit
}

/** Result of [AdmissionQueue.offer]. */
public sealed interface OfferResult {
    /** The attempt was queued. */
    public data object Queued : OfferResult

    /** The attempt was refused. A retry after [retryAfter] is expected to be accepted. */
    public data class Refused(
        public val reason: RefusalReason,
        public val retryAfter: Duration,
    ) : OfferResult
}
