package org.zinniahoist.consensus

import org.zinniahoist.model.InstanceName

/** Reason for which a request to a group failed. */
public sealed interface GroupFailure {
    /** This replica is not the leader; the request had no effect. [hint] is the instance of the leader, if known. */
    public data class NotLeader(public val hint: InstanceName?) : GroupFailure

    /** The replica can't accept the request at present; it had no effect. */
    public data class Unavailable(public val reason: String) : GroupFailure

    /** The outcome is unknown: the command may have been committed, or may still be. */
    public data class OutcomeUnknown(public val reason: String) : GroupFailure
}
