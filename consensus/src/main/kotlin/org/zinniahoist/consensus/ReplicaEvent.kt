package org.zinniahoist.consensus

import org.zinniahoist.model.InstanceName

/** Input of a [Replica]. */
public sealed interface ReplicaEvent {
    /** Time has passed. Expected at least every [ReplicaOptions.heartbeatInterval]. */
    public data object Tick : ReplicaEvent

    /** A message of another replica has arrived. */
    public data class Receive(public val message: ReplicaMessage) : ReplicaEvent

    /**
     * A client asks to commit [command].
     *
     * @property request number by which [ReplicaAction.Apply] or [ReplicaAction.Refuse] names this request.
     * @property wallMilliseconds present wall time in milliseconds since the epoch.
     */
    public class Propose(
        public val request: Long,
        public val wallMilliseconds: Long,
        public val command: ByteArray,
    ) : ReplicaEvent

    /** A client asks for a linearizable read. */
    public data class Read(public val request: Long) : ReplicaEvent

    /** An operator asks to change the members. */
    public data class ChangeMembership(
        public val request: Long,
        public val change: MembershipChange,
    ) : ReplicaEvent

    /**
     * The replicas on [instances] may know the group; an empty replica asks them to join.
     *
     * @property excluded instances whose replicas may not join, because their machines are being emptied.
     */
    public data class Introduce(
        public val instances: Set<InstanceName>,
        public val excluded: Set<InstanceName> = emptySet(),
    ) : ReplicaEvent

    /** The process on [instance] no longer listens, so that it leads no more until it has started again. */
    public data class Stopped(public val instance: InstanceName) : ReplicaEvent

    /** The process is about to stop: the leader hands over to another voter. */
    public data object HandOver : ReplicaEvent

    /** The action [ReplicaAction.Persist] with this [sequence], and all before it, are synced. */
    public data class Persisted(public val sequence: Long) : ReplicaEvent

    /** The snapshot that [ReplicaAction.TakeSnapshot] asked for is durable. */
    public class SnapshotSaved(public val snapshot: Snapshot) : ReplicaEvent
}
