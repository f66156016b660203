package org.zinniahoist.state.report

import kotlinx.serialization.Serializable

/** Something that is wrong with [subject], a process or consensus group. */
@Serializable
public data class Alarm(
    public val kind: AlarmKind,
    public val subject: String,
    public val detail: String,
) {
    /** What to do. */
    public val action: String get() = kind.action
}

/** Kinds of alarms with what an operator does; docs/operators.md has a section for each. */
@Serializable
public enum class AlarmKind(public val action: String) {
    /** The replica has stopped. */
    REPLICA_STOPPED("inspect the folder with 'storage inspect', then replace the replica"),

    /** The replica knows no leader. */
    GROUP_WITHOUT_LEADER("restore the connection of a majority of the group's members"),

    /** The group loses its majority with the next failure of a member. */
    GROUP_WITHOUT_RESERVE("start the missing member with an empty folder"),

    /** A member is not a voter yet. */
    MEMBER_LEARNING("wait until the member holds the log"),

    /** No heartbeat has arrived for longer than links allow. */
    PROCESS_SILENT("check the process and its network; replace the instance if it is gone"),

    /** The process acts on older settings than those accepted. */
    SETTINGS_LAGGING("check the links of the process to the control replicas"),
}
