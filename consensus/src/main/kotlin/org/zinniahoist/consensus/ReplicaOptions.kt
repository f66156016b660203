package org.zinniahoist.consensus

import org.zinniahoist.model.InstanceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Settings of a [Replica].
 *
 * @property heartbeatInterval time between heartbeats of the leader.
 * @property electionTimeout shortest silence of the leader after which a replica campaigns; the actual timeout is drawn
 * between this and twice this. A leader that hears no majority for this long steps down.
 * @property promptElectionDelay shortest wait before a campaign while there is reason to think that no replica leads:
 * after a start, or when the leader's process no longer listens; the actual wait is drawn between this and three times
 * this. It exceeds a few round trips, so that one replica campaigns before the others.
 * @property maximumBatchBytes limit of the commands in one append message and of one snapshot chunk; with the envelope
 * it stays below the 4 MiB of a frame on a link.
 * @property maximumCommandBytes larger commands are refused.
 * @property maximumInflightAppends append messages on the way to one replica without an answer.
 * @property maximumInflightBytes bytes of commands on the way to one replica at which no more go without an answer.
 * They wait in memory at both ends, once for each replica that catches up.
 * @property maximumUncommittedEntries proposals above this number of uncommitted entries are refused.
 * @property maximumAppliedEntries entries that one step applies. A replica that starts applies its whole log and has to
 * answer others meanwhile.
 * @property snapshotInterval applied entries after which a snapshot is taken.
 * @property trailingEntries entries kept in memory before a snapshot, for replicas that lag a little.
 * @property memberInstances instances whose replicas may join by themselves when their folder is empty.
 * @property acceptsUnknownInstances true if replicas on other instances may join as well.
 * @property targetVoters learners get a vote of their own up to this number of voters; beyond it they are spares that
 * replace a lost voter.
 * @property spareLearners learners that may wait for a vote when there are enough voters.
 * @property absenceLimit silence after which a voter may lose its vote to a spare. Longer than a restart of a process,
 * so that a restart costs no replacement.
 */
public data class ReplicaOptions(
    public val heartbeatInterval: Duration = 100.milliseconds,
    public val electionTimeout: Duration = 600.milliseconds,
    public val promptElectionDelay: Duration = 40.milliseconds,
    public val maximumBatchBytes: Int = 1 shl 20,
    public val maximumCommandBytes: Int = 1 shl 20,
    public val maximumInflightAppends: Int = 32,
    public val maximumInflightBytes: Long = 4L shl 20,
    public val maximumUncommittedEntries: Int = 50_000,
    public val maximumAppliedEntries: Int = 64,
    public val snapshotInterval: Long = 200_000,
    public val trailingEntries: Long = 10_000,
    public val memberInstances: Set<InstanceName> = emptySet(),
    public val acceptsUnknownInstances: Boolean = false,
    public val targetVoters: Int = Int.MAX_VALUE,
    public val spareLearners: Int = 1,
    public val absenceLimit: Duration = 2_500.milliseconds,
)
