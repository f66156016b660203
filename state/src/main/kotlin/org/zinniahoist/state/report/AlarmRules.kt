package org.zinniahoist.state.report

import org.zinniahoist.model.Revision

/** Derives alarms from the reports of consensus groups and processes. */
public object AlarmRules {
    /** A link closes after 2.5 s without a frame, so a process without a heartbeat for 3 s has lost its links. */
    public const val HEARTBEAT_TIMEOUT_MILLISECONDS: Long = 3_000

    /** Minimum number of voters with which a group keeps its quorum when one voter fails. */
    public const val MINIMUM_FAULT_TOLERANT_VOTERS: Int = 3

    /** Returns the active alarms, those of groups first. */
    public fun check(revision: Revision, groups: List<GroupReport>, processes: List<ProcessReport>): List<Alarm> =
        groups.flatMap(::check) + processes.mapNotNull { check(it, revision) }

    private fun check(group: GroupReport): List<Alarm> = buildList {
        val failure = group.failure
        if (failure != null) add(Alarm(AlarmKind.REPLICA_STOPPED, group.name, failure))
        if (failure == null && group.leader == null) {
            add(Alarm(AlarmKind.GROUP_WITHOUT_LEADER, group.name, "no leader in term ${group.term}"))
        }
        val voters = group.members.count { it.voter }
        if (voters < MINIMUM_FAULT_TOLERANT_VOTERS) {
            add(Alarm(AlarmKind.GROUP_WITHOUT_RESERVE, group.name, "$voters voters"))
        }
        group.members.filterNot { it.voter }.forEach {
            add(Alarm(AlarmKind.MEMBER_LEARNING, group.name, "${it.instance} has no vote"))
        }
    }

    /** Returns at most one alarm: the settings revision of a process without recent heartbeats is out of date. */
    private fun check(process: ProcessReport, revision: Revision): Alarm? {
        val age = process.heartbeatAgeMilliseconds
        val subject = process.instance.value
        return when {
            age == null -> Alarm(AlarmKind.PROCESS_SILENT, subject, "no heartbeat yet")

            age > HEARTBEAT_TIMEOUT_MILLISECONDS ->
                Alarm(AlarmKind.PROCESS_SILENT, subject, "last heartbeat $age ms ago")

            process.revision < revision ->
                Alarm(AlarmKind.SETTINGS_LAGGING, subject, "revision ${process.revision} of $revision in force")

            else -> null
        }
    }
}
