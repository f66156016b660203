package org.zinniahoist.policy.admission

import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RefusalReason
import org.zinniahoist.model.TrainerName
import kotlin.time.Duration

/** Orders the attempts that wait at a sidecar for a slot of its upstream. */
public interface AdmissionQueue {
    /** Number of attempts that wait. */
    public val size: Int

    /** Queues an attempt or refuses it before any byte of it has run. */
    public fun offer(attempt: QueuedAttempt, now: Moment): OfferResult

    /** Removes and returns the attempt to start next, or returns null if no slot is free for those that wait. */
    public fun poll(slots: Slots, now: Moment): QueuedAttempt?

    /** Removes and returns the attempts that can no longer meet their deadlines. They get the verdict not-run. */
    public fun expire(now: Moment): List<QueuedAttempt>

    /** Removes an attempt that waits. Returns false if it does not wait. */
    public fun cancel(attempt: AttemptIdentifier): Boolean

    /** Records that a started attempt ended after it used [engineTime] of a slot. */
    public fun onEnd(attempt: QueuedAttempt, engineTime: Duration, now: Moment)
}

/** Who sent an attempt. */
public sealed interface Origin {
    /** A caller that waits for the answer. */
    public data object Live : Origin

    /**
     * A trainer with its share of engine time.
     *
     * @property group identifies the sample group within the trainer, such as `step/group`.
     * @property remainingInGroup samples of the group that are not finished.
     */
    public data class Training(
        public val trainer: TrainerName,
        public val weight: Int,
        public val group: String,
        public val remainingInGroup: Int,
    ) : Origin
}

/**
 * An attempt at a sidecar.
 *
 * @property expectedTime time that the attempt is expected to hold a slot.
 * @property deadline moment after which the answer is of no use, on this process's clock.
 */
public data class QueuedAttempt(
    public val identifier: AttemptIdentifier,
    public val origin: Origin,
    public val expectedTime: Duration,
    public val deadline: Moment,
)

/**
 * Use of the upstream's slots.
 *
 * @property running attempts that the upstream has.
 * @property limit attempts that it may have.
 * @property trainingLimit attempts up to which trainers may fill it. The rest is kept free for live callers.
 * @property starting running attempts that have no first token yet.
 * @property startingLimit attempts without a first token from which trainers wait, as a live attempt would wait behind
 * their prompts in the upstream.
 */
public data class Slots(
    public val running: Int,
    public val limit: Int,
    public val trainingLimit: Int = limit,
    public val starting: Int = 0,
    public val startingLimit: Int = Int.MAX_VALUE,
) {
    /** Whether a trainer's attempt may start without a claim from waiting too long. */
    internal val freeForTraining: Boolean get() = running < trainingLimit && starting < startingLimit
}

/** Answer to an offered attempt. */
public sealed interface OfferResult {
    /** The attempt waits. */
    public data object Queued : OfferResult

    /** The attempt was refused. A repeat is expected to be accepted after [retryAfter]. */
    public data class Refused(
        public val reason: RefusalReason,
        public val retryAfter: Duration,
    ) : OfferResult
}
