package org.zinniahoist.policy.duty

import org.zinniahoist.model.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Outcome of a call of a duty. */
public enum class DutyAnswer {
    /** The platform has carried out the call. */
    ACCEPTED,

    /** The platform has seen a higher fencing token. */
    STALE_FENCE,

    /** The platform receives too many calls. */
    THROTTLED,

    /** The platform answered in another way. */
    REFUSED,

    /** No answer arrived; the call may still be carried out. */
    UNKNOWN,

    /** The call was not sent, because leadership was not confirmed in time. */
    NOT_SENT,
}

/**
 * Decides which closed window a leader reports next, one at a time. Not thread-safe.
 *
 * Windows with the fewest attempts come first, so that windows of an outage, whose reports are late anyway, do not
 * delay those that are still in time.
 *
 * @param interval shortest time between two calls.
 */
public class UsageReporter(private val interval: Duration) {
    private val attempts = HashMap<Long, Int>()
    private val accepted = HashSet<Long>()
    private var notBefore = Moment(Long.MIN_VALUE)
    private var consecutiveFailures = 0

    /** Returns the window to report at [now] out of the [unreported] ones, or null if none is due. */
    public fun next(now: Moment, unreported: Set<Long>): Long? {
        attempts.keys.retainAll(unreported)
        accepted.retainAll(unreported)
        if (now < notBefore) return null
        return (unreported - accepted).minWithOrNull(compareBy<Long> { attempts[it] ?: 0 }.thenBy { it })
    }

    /** Returns the windows that the platform has accepted and that the log still holds as [unreported]. */
    public fun acceptedOf(unreported: Set<Long>): List<Long> = unreported.filter { it in accepted }

    /** Records the [answer] to the report of [window], received at [now]. */
    public fun onAnswer(window: Long, answer: DutyAnswer, now: Moment) {
        when (answer) {
            DutyAnswer.ACCEPTED -> {
                accepted += window
                consecutiveFailures = 0
                notBefore = now + interval
            }

            DutyAnswer.STALE_FENCE -> notBefore = now + interval

            DutyAnswer.NOT_SENT -> notBefore = now + SHORT_DELAY

            DutyAnswer.THROTTLED -> {
                attempts.merge(window, 1, Int::plus)
                notBefore = now + SHORT_DELAY
            }

            DutyAnswer.REFUSED, DutyAnswer.UNKNOWN -> {
                attempts.merge(window, 1, Int::plus)
                notBefore = now + backoff()
                consecutiveFailures++
            }
        }
    }

    private fun backoff(): Duration =
        minOf(FIRST_BACKOFF * (1 shl minOf(consecutiveFailures, MAXIMUM_DOUBLINGS)), LONGEST_BACKOFF)

    private companion object {
        val SHORT_DELAY = 500.milliseconds
        val FIRST_BACKOFF = 500.milliseconds
        val LONGEST_BACKOFF = 4.seconds
        const val MAXIMUM_DOUBLINGS = 3
    }
}
