package org.zinniahoist.policy.routes

import org.zinniahoist.policy.poison.CrashTable
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Reason why a request is refused before it has run. */
public enum class RefusalCause {
    /** This process has not received the configuration yet, because the service group has no leader. */
    NO_CONFIGURATION,

    /** The service group has no leader. */
    NO_LEADER,

    /** No upstream accepts the request. */
    NO_UPSTREAM,

    /** This process is shutting down, and other processes serve requests. */
    STOPPING,

    /** This process has no memory for the body of the request, until other requests have ended. */
    NO_MEMORY,

    /** Upstreams crashed at earlier runs of the request. */
    CRASHES,

    /** The requests in flight to the service are at the limit of this process, and the wait would be too long. */
    NO_CAPACITY,

    /** This process lost contact to the service group, so the key of the request may have been revoked. */
    STALE_KEYS,
}

/** Computes the retry delay that a refused client is asked to observe. */
public object RetryAfterPolicy {
    /** Duration of an election after all processes were killed. An earlier retry would be refused again. */
    private val ELECTION_DELAY = 1_000.milliseconds

    /** Clients ignore a retry delay of more than a third of their remaining time. */
    private const val MAXIMUM_SHARE_OF_REMAINING = 0.33

    /** Share of the delay over which retries are randomly distributed. */
    private const val JITTER_SHARE = 0.25

    /** Share of an expected wait that is added at random. */
    private const val WAIT_JITTER_SHARE = 0.5
    private val NO_UPSTREAM_DELAY = 400.milliseconds
    private val MINIMUM_DELAY = 50.milliseconds

    /**
     * Returns the delay after which the client may retry. [remaining] is the time until the client gives up on the
     * request.
     */
    public fun after(cause: RefusalCause, remaining: Duration, random: Random): Duration {
        val preferredDelay = when (cause) {
            RefusalCause.NO_CONFIGURATION, RefusalCause.NO_LEADER, RefusalCause.STALE_KEYS -> ELECTION_DELAY
            RefusalCause.NO_UPSTREAM, RefusalCause.NO_MEMORY, RefusalCause.NO_CAPACITY -> NO_UPSTREAM_DELAY
            RefusalCause.STOPPING -> MINIMUM_DELAY
            RefusalCause.CRASHES -> CrashTable.RETENTION
        }
        val boundedDelay = minOf(preferredDelay, remaining * MAXIMUM_SHARE_OF_REMAINING)
        return (boundedDelay * (1 - JITTER_SHARE * random.nextDouble())).coerceAtLeast(MINIMUM_DELAY)
    }

    /**
     * Returns the delay after which a client may retry for which a place is expected after [expectedWait]. [remaining]
     * is the time until the client gives up on the request.
     */
    public fun afterWait(expectedWait: Duration, remaining: Duration, random: Random): Duration {
        val longest = remaining * MAXIMUM_SHARE_OF_REMAINING / (1 + WAIT_JITTER_SHARE)
        val boundedWait = minOf(expectedWait, longest).coerceAtLeast(MINIMUM_DELAY)
        return boundedWait * (1 + WAIT_JITTER_SHARE * random.nextDouble())
    }
}
