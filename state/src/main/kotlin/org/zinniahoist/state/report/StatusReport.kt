package org.zinniahoist.state.report

import kotlinx.serialization.Serializable
import org.zinniahoist.consensus.GroupStatus
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Revision
import org.zinniahoist.model.Role

/**
 * State of the deployment as one control instance sees it.
 *
 * @property revision revision of the settings tree.
 */
@Serializable
public data class StatusReport(
    public val reporter: InstanceName,
    public val timeMilliseconds: Long,
    public val revision: Revision,
    public val groups: List<GroupReport>,
    public val processes: List<ProcessReport>,
    public val alarms: List<Alarm>,
) {
    public companion object {
        /** Returns the report with the alarms that follow from [groups] and [processes]. */
        public fun of(
            reporter: InstanceName,
            timeMilliseconds: Long,
            revision: Revision,
            groups: List<GroupReport>,
            processes: List<ProcessReport>,
        ): StatusReport = StatusReport(
            reporter,
            timeMilliseconds,
            revision,
            groups,
            processes,
            AlarmRules.check(revision, groups, processes),
        )
    }
}

/** State of the replica of one consensus group on the reporting instance. */
@Serializable
public data class GroupReport(
    public val name: String,
    public val leader: InstanceName?,
    public val term: Long,
    public val commitIndex: Long,
    public val lastIndex: Long,
    public val members: List<MemberReport>,
    /** Why the replica has stopped, or null while it runs. */
    public val failure: String? = null,
) {
    public companion object {
        /** Returns the report of group [name] with [status]. */
        public fun of(name: String, status: GroupStatus): GroupReport = GroupReport(
            name = name,
            leader = status.leader,
            term = status.term,
            commitIndex = status.commitIndex,
            lastIndex = status.lastIndex,
            members = status.configuration.members.map {
                MemberReport(it.address.instance, it.address.identifier.toString(), it.voter)
            },
            failure = status.failure,
        )
    }
}

/** A member of a consensus group; a member without a vote is a learner. */
@Serializable
public data class MemberReport(
    public val instance: InstanceName,
    public val replica: String,
    public val voter: Boolean,
)

/** State of one daemon as of its last heartbeat. */
@Serializable
public data class ProcessReport(
    public val instance: InstanceName,
    public val roles: Set<Role>,
    /** Revision of the settings in force in the process. */
    public val revision: Revision,
    public val draining: Boolean = false,
    /** Requests running and waiting, or null if the process has reported none. */
    public val load: ProcessLoad? = null,
    /** Time since the last heartbeat, or null if there was none. */
    public val heartbeatAgeMilliseconds: Long? = null,
)

/** Requests at a process. */
@Serializable
public data class ProcessLoad(
    public val running: Int,
    public val waiting: Int,
)
