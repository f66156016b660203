package org.zinniahoist.consensus

import org.zinniahoist.model.InstanceName

/** Why a proposal or read has no answer. */
public sealed interface GroupFailure {
    /** This replica doesn't lead; the request had no effect. [hint] is the instance of the leader, if known. */
    public data class NotLeader(public val hint: InstanceName?) : GroupFailure

    /** The request had no effect because the replica can't accept it now. */
    public data class Unavailable(public val reason: String) : GroupFailure

    /** The command may still be committed, or may have been. */
    public data class OutcomeUnknown(public val reason: String) : GroupFailure
}
