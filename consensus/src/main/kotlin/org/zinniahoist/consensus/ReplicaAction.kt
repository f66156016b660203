package org.zinniahoist.consensus

import org.zinniahoist.model.InstanceName

/** Output of a [Replica]. The caller executes actions in order. */
public sealed interface ReplicaAction {
    /** Sends [message] to the replica on [instance]. Loss, duplication and reordering are tolerated. */
    public data class Send(
        public val instance: InstanceName,
        public val message: ReplicaMessage,
    ) : ReplicaAction

    /**
     * Writes and syncs changes, to be followed by [ReplicaEvent.Persisted]. One sync may cover several actions.
     *
     * @property hardState the changed term and vote, or null if unchanged.
     * @property snapshot a snapshot that replaces the stored one, or null. It supersedes the stored entries up to its
     * index, or all stored entries if none has the snapshot's index and term.
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

    /** Applies a committed entry. [request] is the local proposal to answer, or null if there is none. */
    public data class Apply(
        public val entry: LogEntry,
        public val request: Long?,
    ) : ReplicaAction

    /** Answers the read [request] from the current state of the state machine. */
    public data class AnswerRead(public val request: Long) : ReplicaAction

    /** Fails the proposal, read or membership change [request]. */
    public data class FailRequest(
        public val request: Long,
        public val failure: GroupFailure,
    ) : ReplicaAction

    /** Restores the state machine from [snapshot], which was received from the leader. */
    public class RestoreStateMachine(public val snapshot: Snapshot) : ReplicaAction

    /** Takes a snapshot of the state machine and saves it durably, to be followed by [ReplicaEvent.SnapshotSaved]. */
    public data class TakeSnapshot(
        public val index: Long,
        public val term: Long,
        public val timeMilliseconds: Long,
        public val configuration: Configuration,
    ) : ReplicaAction

    /** Reports that the replica became the leader of [term]. */
    public data class BecameLeader(public val term: Long) : ReplicaAction

    /** Reports that the replica lost the leadership. [leader] is the instance of the new leader, if known. */
    public data class BecameFollower(
        public val term: Long,
        public val leader: InstanceName?,
    ) : ReplicaAction
}
