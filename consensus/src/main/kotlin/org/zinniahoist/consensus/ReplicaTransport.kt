package org.zinniahoist.consensus

import org.zinniahoist.model.InstanceName

/** Sends messages to other replicas of a group. May lose, duplicate and reorder them; must not block or throw. */
public fun interface ReplicaTransport {
    /** Sends [message] to the replica on [instance]. */
    public fun send(instance: InstanceName, message: ReplicaMessage)
}
