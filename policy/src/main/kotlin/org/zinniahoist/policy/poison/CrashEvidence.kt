package org.zinniahoist.policy.poison

import org.zinniahoist.model.Moment
import org.zinniahoist.model.UpstreamIdentity

/**
 * [upstream] crashed at [at] while it ran a request, before it sent any part of the response.
 *
 * @property isRestored true if it was read from the replicated state, so that [at] depends on clocks that differ.
 */
public data class ObservedCrash(
    public val fingerprint: Fingerprint,
    public val upstream: UpstreamIdentity,
    public val at: Moment,
    public val isRestored: Boolean = false,
)

/** An upstream ran a request and responded at [at]. */
public data class ObservedCompletion(
    public val fingerprint: Fingerprint,
    public val at: Moment,
)

/** Observations that processes share about requests that were in flight when an upstream crashed. */
public data class CrashEvidence(
    public val crashes: List<ObservedCrash> = emptyList(),
    public val completions: List<ObservedCompletion> = emptyList(),
) {
    /** True if there is nothing to share. */
    public val isEmpty: Boolean get() = crashes.isEmpty() && completions.isEmpty()
}
