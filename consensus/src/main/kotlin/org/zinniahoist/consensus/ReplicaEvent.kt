package org.zinniahoist.consensus

import org.zinniahoist.model.InstanceName

/** Input of a [Replica]. */
public sealed interface ReplicaEvent {
    /** Timer tick, expected at least once per [ReplicaOptions.heartbeatInterval]. */
    public data object Tick : ReplicaEvent

    /** Receipt of a message from another replica. */
    public data class Receive(public val message: ReplicaMessage) : ReplicaEvent

    /**
     * Client request to commit [command].
     *
     * @property request identifier of this request in [ReplicaAction.Apply] and [ReplicaAction.FailRequest].
     * @property wallMilliseconds current wall time in milliseconds since the epoch.
     */
    public class Propose(
        public val request: Long,
        public val wallMilliseconds: Long,
        public val command: ByteArray,
    ) : ReplicaEvent

    /** Client request for a linearizable read. */
    public data class Read(public val request: Long) : ReplicaEvent

    /** Operator request for a membership change. */
    public data class ChangeMembership(
        public val request: Long,
        public val change: MembershipChange,
    ) : ReplicaEvent

    /**
     * Sets the [instances] to which this replica sends join requests while it has no leader or is not a member.
     *
     * @property excluded instances whose replicas may not join, because they are being drained.
     */
    public data class SetJoinTargets(
        public val instances: Set<InstanceName>,
        public val excluded: Set<InstanceName> = emptySet(),
    ) : ReplicaEvent

    /** Reports that the process on [instance] no longer listens, so its replica can't lead before a restart. */
    public data class PeerStopped(public val instance: InstanceName) : ReplicaEvent

    /** The process is about to stop: if this replica leads, it transfers the leadership to another voter. */
    public data object TransferLeadership : ReplicaEvent

    /** Reports that the [ReplicaAction.Persist] with this [sequence] and all earlier ones are synced. */
    public data class Persisted(public val sequence: Long) : ReplicaEvent

    /** Reports that the snapshot requested by [ReplicaAction.TakeSnapshot] is durable. */
    public class SnapshotSaved(public val snapshot: Snapshot) : ReplicaEvent
}
