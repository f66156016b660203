package org.zinniahoist.state.report

import org.zinniahoist.model.Revision

/** Derives alarms from the state of groups and processes. */
public object AlarmRules {
    /** Links close after 2.5 s without a frame, so a process silent for 3 s has lost its links. */
    public const val SILENT_MILLISECONDS: Long = 3_000

    /** Smallest number of voters with which a group survives the loss of one. */
    public const val VOTERS_WITH_RESERVE: Int = 3

    /** Returns what is wrong, groups first. */
    public fun check(revision: Revision, groups: List<GroupReport>, processes: List<ProcessReport>): List<Alarm> =
        groups.flatMap(::check) + processes.mapNotNull { check(it, revision) }

    private fun check(group: GroupReport): List<Alarm> = buildList {
        val failure = group.failure
        if (failure != null) add(Alarm(AlarmKind.REPLICA_STOPPED, group.name, failure))
        if (failure == null && group.leader == null) {
            add(Alarm(AlarmKind.GROUP_WITHOUT_LEADER, group.name, "no leader in term ${group.term}"))
        }
        val voters = group.members.count { it.voter }
        if (voters < VOTERS_WITH_RESERVE) {
            add(Alarm(AlarmKind.GROUP_WITHOUT_RESERVE, group.name, "$voters voters"))
        }
        group.members.filterNot { it.voter }.forEach {
            add(Alarm(AlarmKind.MEMBER_LEARNING, group.name, "${it.instance} has no vote"))
        }
    }

    /** A silent process is named once: what it last reported about its settings is out of date. */
    private fun check(process: ProcessReport, revision: Revision): Alarm? {
        val age = process.heartbeatAgeMilliseconds
        val subject = process.instance.value
        return when {
            age == null -> Alarm(AlarmKind.PROCESS_SILENT, subject, "no heartbeat yet")

            age > SILENT_MILLISECONDS -> Alarm(AlarmKind.PROCESS_SILENT, subject, "last heartbeat $age ms ago")

            process.revision < revision ->
                Alarm(AlarmKind.SETTINGS_LAGGING, subject, "revision ${process.revision} of $revision in force")

            else -> null
        }
    }
}
