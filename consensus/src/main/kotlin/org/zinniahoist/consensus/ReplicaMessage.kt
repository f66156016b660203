@file:OptIn(ExperimentalSerializationApi::class)

package org.zinniahoist.consensus

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable

/**
 * A message between replicas of one group.
 *
 * @property to the replica for which the message is meant; null for a [ReplicaMessageContent.JoinRequest], whose sender
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
    /** Bytes of the commands or of the part of a snapshot that the message carries. */
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
    /** Asks whether the sender could win an election in [nextTerm]; changes no state of the receiver. */
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
     * Asks for a vote in the sender's term.
     *
     * @property leaderAgrees true if the leader asked the sender to take over, so that its recent contact is no reason
     * to refuse.
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
     * Replicates entries after [previousIndex]; without entries it is a heartbeat.
     *
     * @property round number of the leader's last round of confirming its leadership for reads.
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
     * Answers an [AppendRequest] after the entries were synced.
     *
     * @property index last entry that is known to match if [success], otherwise the rejected previous index.
     * @property hint last index at which the logs may match, if not [success].
     */
    @Serializable
    public data class AppendResponse(
        public val success: Boolean,
        public val index: Long,
        public val hint: Long,
        public val round: Long,
    ) : ReplicaMessageContent

    /** One chunk of a snapshot. [snapshot] carries the metadata and, as data, the bytes from [offset]. */
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
     * @property nextOffset number of bytes received so far.
     * @property complete true once the snapshot is installed and synced.
     */
    @Serializable
    public data class SnapshotResponse(
        public val snapshotIndex: Long,
        public val nextOffset: Long,
        public val complete: Boolean,
        public val round: Long,
    ) : ReplicaMessageContent

    /** The leader stops and asks the receiver to campaign at once. */
    @Serializable
    public data object TakeOver : ReplicaMessageContent

    /** Asks the leader to add the sender as a learner. A follower passes it on to the leader. */
    @Serializable
    public data object JoinRequest : ReplicaMessageContent
}
