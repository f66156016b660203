package org.zinniahoist.consensus

import org.zinniahoist.model.InstanceName

/**
 * Status of a replica at one point in time.
 *
 * @property leader instance of the leader, if known.
 * @property configuration the latest configuration in the log, committed or not.
 * @property isConfigurationCommitted true once [configuration] is known to be committed, so that the group can't revert
 * to the previous one.
 * @property committed the latest configuration that is known to be committed.
 * @property isCaughtUp true if the replica knows as committed whatever its leader did when they were last in contact.
 * @property failure cause for which the replica has stopped, or null while it runs.
 * @property log memory use of the log.
 */
public data class GroupStatus(
    public val address: ReplicaAddress,
    public val isLeader: Boolean,
    public val leader: InstanceName?,
    public val term: Long,
    public val commitIndex: Long,
    public val lastIndex: Long,
    public val configuration: Configuration,
    public val isConfigurationCommitted: Boolean,
    public val committed: PositionedConfiguration,
    public val isCaughtUp: Boolean,
    public val failure: String?,
    public val log: LogSize = LogSize(),
)

/**
 * Memory use of the log of a replica.
 *
 * @property entries number of entries in memory.
 * @property commandBytes bytes of the commands in these entries.
 * @property snapshotBytes bytes of the latest snapshot.
 * @property sentBytes bytes of commands and snapshots in messages emitted to other replicas since the start.
 */
public data class LogSize(
    public val entries: Long = 0,
    public val commandBytes: Long = 0,
    public val snapshotBytes: Long = 0,
    public val sentBytes: Long = 0,
)

/**
 * Events queued for the thread of a replica.
 *
 * @property events number of queued events.
 * @property messageBytes bytes of commands and snapshots in the queued messages of other replicas.
 */
public data class QueuedEvents(
    public val events: Int,
    public val messageBytes: Long,
)
