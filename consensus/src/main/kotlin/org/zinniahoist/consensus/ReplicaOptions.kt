package org.zinniahoist.consensus

import org.zinniahoist.model.InstanceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Settings of a [Replica].
 *
 * @property heartbeatInterval interval between heartbeats of the leader.
 * @property electionTimeout minimum time without contact to the leader before a replica campaigns; the actual timeout
 * is random, between one and two times this value. A leader without contact to a majority for this time steps down.
 * @property shortElectionDelay minimum delay before a campaign when the group probably has no leader: after a start,
 * or when the leader's process no longer listens. The actual delay is random, between one and three times this value.
 * It exceeds a few round trips, so that one replica campaigns before the others.
 * @property maximumBatchBytes maximum size of the commands in one append message and of one snapshot chunk; with the
 * envelope it stays below the frame limit of a link, 4 MiB.
 * @property maximumCommandBytes maximum size of a command; larger commands are rejected.
 * @property maximumInflightAppends maximum number of unacknowledged append messages to one replica.
 * @property maximumInflightBytes bytes of unacknowledged commands to one replica from which on no more are sent. They
 * occupy memory at both ends, for each replica that is catching up.
 * @property maximumUncommittedEntries number of uncommitted entries from which on proposals are rejected.
 * @property maximumAppliedEntries maximum number of entries applied in one step. A restarted replica applies its whole
 * log and has to answer its peers meanwhile.
 * @property snapshotInterval number of applied entries between two snapshots.
 * @property trailingEntries number of entries before a snapshot that are retained in memory, so that slightly lagging
 * replicas need no snapshot.
 * @property memberInstances instances whose replicas may join without an operator when their folder is empty.
 * @property acceptsUnknownInstances true if replicas on other instances may join as well.
 * @property targetVoters number of voters up to which learners are promoted; further learners are spares that replace
 * failed voters.
 * @property spareLearners maximum number of spare learners when the group has [targetVoters] voters.
 * @property absenceLimit time without contact after which a spare may replace a voter. It is longer than a process
 * restart, so that a restart causes no replacement.
 */
public data class ReplicaOptions(
    public val heartbeatInterval: Duration = 100.milliseconds,
    public val electionTimeout: Duration = 600.milliseconds,
    public val shortElectionDelay: Duration = 40.milliseconds,
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
