package org.zinniahoist.consensus

import org.zinniahoist.model.InstanceName

/**
 * State of a replica at one time.
 *
 * @property leader instance of the leader, if known.
 * @property configuration the latest configuration in the log, committed or not.
 * @property isConfigurationCommitted true once [configuration] is known to be committed, so that the group can't fall
 * back to the one before.
 * @property failure why the replica has stopped, or null while it runs.
 * @property log what of the log is in memory.
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
    public val failure: String?,
    public val log: LogSize = LogSize(),
)

/**
 * What a replica holds of its log in memory.
 *
 * @property entries number of entries.
 * @property commandBytes bytes of their commands.
 * @property snapshotBytes bytes of the latest snapshot.
 * @property sentBytes bytes of commands and snapshots that were handed out for other replicas since the start.
 */
public data class LogSize(
    public val entries: Long = 0,
    public val commandBytes: Long = 0,
    public val snapshotBytes: Long = 0,
    public val sentBytes: Long = 0,
)

/**
 * Events that wait for the thread of a replica.
 *
 * @property messageBytes bytes of commands and snapshots in messages of other replicas among them.
 */
public data class WaitingEvents(
    public val events: Int,
    public val messageBytes: Long,
)
