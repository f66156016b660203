package org.zinniahoist.state.report

import kotlinx.serialization.Serializable
import org.zinniahoist.consensus.GroupStatus
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Revision
import org.zinniahoist.model.Role

/**
 * State of the deployment from the view of one control instance.
 *
 * @property revision revision of the committed settings tree.
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
        /** Returns the report, with the alarms derived from [groups] and [processes]. */
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

/** State of the reporting instance's replica of one consensus group. */
@Serializable
public data class GroupReport(
    public val name: String,
    public val leader: InstanceName?,
    public val term: Long,
    public val commitIndex: Long,
    public val lastIndex: Long,
    public val members: List<MemberReport>,
    /** Cause of the replica's failure, or null while the replica runs. */
    public val failure: String? = null,
) {
    public companion object {
        /** Converts the [status] of the group [name] to a report. */
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
    /** Revision of the settings that the process has applied. */
    public val revision: Revision,
    public val draining: Boolean = false,
    /** Load of the process, or null if the process has not reported it. */
    public val load: ProcessLoad? = null,
    /** Time since the last heartbeat, or null if none has arrived. */
    public val heartbeatAgeMilliseconds: Long? = null,
)

/** Number of running and queued requests of a process. */
@Serializable
public data class ProcessLoad(
    public val running: Int,
    public val waiting: Int,
)
