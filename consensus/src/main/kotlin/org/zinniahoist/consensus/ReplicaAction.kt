package org.zinniahoist.consensus

import org.zinniahoist.model.InstanceName

/** Output of a [Replica], to be carried out in order. */
public sealed interface ReplicaAction {
    /** Send [message] to the replica on [instance]. Loss, duplication and reordering are allowed. */
    public data class Send(
        public val instance: InstanceName,
        public val message: ReplicaMessage,
    ) : ReplicaAction

    /**
     * Write and sync, then report [ReplicaEvent.Persisted]. Several actions may be synced at once.
     *
     * @property hardState the new term and vote, or null if unchanged.
     * @property snapshot a snapshot to replace the stored one, or null. Stored entries up to it are superseded; if
     * the stored log has no entry with the snapshot's index and term, all stored entries are.
     * @property truncateFrom first index of the stored entries to delete before appending, or null.
     * @property entries entries to append.
     */
    public class Persist(
        public val sequence: Long,
        public val hardState: HardState?,
        public val snapshot: Snapshot?,
        public val truncateFrom: Long?,
        public val entries: List<LogEntry>,
    ) : ReplicaAction

    /** Apply a committed entry. [request] is the proposal to answer, or null if it was not made here. */
    public data class Apply(
        public val entry: LogEntry,
        public val request: Long?,
    ) : ReplicaAction

    /** Answer the read [request] from the state machine as it is now. */
    public data class AnswerRead(public val request: Long) : ReplicaAction

    /** The proposal or read [request] fails. */
    public data class Refuse(
        public val request: Long,
        public val failure: GroupFailure,
    ) : ReplicaAction

    /** Replace the state of the state machine by [snapshot], received from the leader. */
    public class RestoreStateMachine(public val snapshot: Snapshot) : ReplicaAction

    /** Take a snapshot of the state machine, make it durable and report [ReplicaEvent.SnapshotSaved]. */
    public data class TakeSnapshot(
        public val index: Long,
        public val term: Long,
        public val timeMilliseconds: Long,
        public val configuration: Configuration,
    ) : ReplicaAction

    /** The replica now leads in [term]. */
    public data class BecameLeader(public val term: Long) : ReplicaAction

    /** The replica no longer leads. [leader] is the instance of the new leader, if known. */
    public data class BecameFollower(
        public val term: Long,
        public val leader: InstanceName?,
    ) : ReplicaAction
}
