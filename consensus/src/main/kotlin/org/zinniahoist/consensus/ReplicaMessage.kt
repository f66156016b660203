@file:OptIn(ExperimentalSerializationApi::class)

package org.zinniahoist.consensus

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable

/**
 * Message between replicas of one group.
 *
 * @property to the addressed replica; null for a [ReplicaMessageContent.JoinRequest], whose sender
 * knows instances only.
 * @property term the sender's term.
 */
@Serializable
public data class ReplicaMessage(
    public val from: ReplicaAddress,
    public val to: ReplicaIdentifier?,
    public val term: Long,
    public val content: ReplicaMessageContent,
) {
    /** Size in bytes of the commands or the snapshot chunk in the message. */
    internal val payloadBytes: Long
        get() = when (content) {
            is ReplicaMessageContent.AppendRequest -> content.entries.sumOf { it.commandBytes }
            is ReplicaMessageContent.SnapshotRequest -> content.snapshot.data.size.toLong()
            else -> 0
        }
}

/** Content of a [ReplicaMessage]. */
@Serializable
public sealed interface ReplicaMessageContent {
    /** Asks whether the receiver would vote for the sender in [nextTerm]. Changes no term and no vote. */
    @Serializable
    public data class PreVoteRequest(
        public val nextTerm: Long,
        public val lastIndex: Long,
        public val lastTerm: Long,
    ) : ReplicaMessageContent

    /** Answers a [PreVoteRequest]. */
    @Serializable
    public data class PreVoteResponse(
        public val nextTerm: Long,
        public val granted: Boolean,
    ) : ReplicaMessageContent

    /**
     * Requests a vote in the sender's term.
     *
     * @property leaderAgrees true during a leadership transfer, in which recent contact with the leader is no reason to
     * reject the request.
     */
    @Serializable
    public data class VoteRequest(
        public val lastIndex: Long,
        public val lastTerm: Long,
        public val leaderAgrees: Boolean = false,
    ) : ReplicaMessageContent

    /** Answers a [VoteRequest]. */
    @Serializable
    public data class VoteResponse(public val granted: Boolean) : ReplicaMessageContent

    /**
     * Replicates the entries after [previousIndex]. Without entries it serves as a heartbeat.
     *
     * @property round number of the leader's latest read round, in which it confirms its leadership.
     */
    @Serializable
    public data class AppendRequest(
        public val previousIndex: Long,
        public val previousTerm: Long,
        public val entries: List<LogEntry>,
        public val commitIndex: Long,
        public val round: Long,
    ) : ReplicaMessageContent

    /**
     * Answers an [AppendRequest] once the entries are synced.
     *
     * @property index last index known to match if [success], otherwise the rejected previous index.
     * @property hint if not [success], the last index at which the logs may match.
     */
    @Serializable
    public data class AppendResponse(
        public val success: Boolean,
        public val index: Long,
        public val hint: Long,
        public val round: Long,
    ) : ReplicaMessageContent

    /** Transfers one chunk of a snapshot. The data of [snapshot] is the chunk at byte [offset]. */
    @Serializable
    public class SnapshotRequest(
        public val snapshot: Snapshot,
        public val offset: Long,
        public val totalBytes: Long,
        public val round: Long,
    ) : ReplicaMessageContent {
        override fun toString(): String = "SnapshotRequest(index=${snapshot.index}, offset=$offset, of=$totalBytes)"
    }

    /**
     * Answers a [SnapshotRequest].
     *
     * @property nextOffset number of contiguous bytes received so far.
     * @property complete true once the snapshot is installed and synced.
     */
    @Serializable
    public data class SnapshotResponse(
        public val snapshotIndex: Long,
        public val nextOffset: Long,
        public val complete: Boolean,
        public val round: Long,
    ) : ReplicaMessageContent

    /** Transfers the leadership: asks the receiver to campaign immediately. */
    @Serializable
    public data object TakeOver : ReplicaMessageContent

    /** Asks the leader to add the sender as a learner. A follower forwards the request to the leader. */
    @Serializable
    public data object JoinRequest : ReplicaMessageContent
}
