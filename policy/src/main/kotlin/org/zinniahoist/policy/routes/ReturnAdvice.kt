package org.zinniahoist.policy.routes

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Why a request is refused before it has run. */
public enum class RefusalCause {
    /** This process does not know the configuration yet, because the service group has no leader. */
    NO_CONFIGURATION,

    /** The service group has no leader. */
    NO_LEADER,

    /** No upstream takes the request. */
    NO_UPSTREAM,

    /** This process is about to end; others serve. */
    STOPPING,
}

/** Decides when a client that is refused is asked to come back. */
public object ReturnAdvice {
    /** An election after a kill of all processes takes this long, so an earlier return would be refused again. */
    private val ELECTION = 1_000.milliseconds

    /** Clients wait for a third of the time that they have left at most; beyond it they would not heed the advice. */
    private const val HEEDED_SHARE = 0.33

    /** Returns are spread over this share of the advised time. */
    private const val SPREAD = 0.25
    private val SOON = 400.milliseconds
    private val SHORTEST = 50.milliseconds

    /** Returns the time after which the client may come back. [remaining] is the time for which it waits at all. */
    public fun after(cause: RefusalCause, remaining: Duration, random: Random): Duration {
        val wanted = when (cause) {
            RefusalCause.NO_CONFIGURATION, RefusalCause.NO_LEADER -> ELECTION
            RefusalCause.NO_UPSTREAM -> SOON
            RefusalCause.STOPPING -> SHORTEST
        }
        val heeded = minOf(wanted, remaining * HEEDED_SHARE)
        return (heeded * (1 - SPREAD * random.nextDouble())).coerceAtLeast(SHORTEST)
    }
}
