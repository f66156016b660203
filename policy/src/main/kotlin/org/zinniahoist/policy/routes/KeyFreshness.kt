package org.zinniahoist.policy.routes

import kotlin.time.Duration

/**
 * Decides whether a process may still accept the keys that it knows, which may have been revoked meanwhile.
 *
 * @param revocation time within which a revoked key must be refused.
 * @param isStrict whether this also holds while the process has lost contact to the service group.
 */
public class KeyFreshness(
    private val revocation: Duration,
    private val isStrict: Boolean,
) {
    /** Returns whether keys may be accepted [contactAge] after the last contact to the service group. */
    public fun mayAccept(contactAge: Duration): Boolean = !isStrict || contactAge < revocation
}
