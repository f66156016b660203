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
)
