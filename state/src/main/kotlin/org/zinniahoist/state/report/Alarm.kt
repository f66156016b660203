package org.zinniahoist.state.report

import kotlinx.serialization.Serializable

/** A fault of [subject], which is a process or a consensus group. */
@Serializable
public data class Alarm(
    public val kind: AlarmKind,
    public val subject: String,
    public val detail: String,
) {
    /** Action that the operator takes to clear the alarm. */
    public val action: String get() = kind.action
}

/** Kinds of alarms, each with its operator [action]; docs/operators.md has a section for each kind. */
@Serializable
public enum class AlarmKind(public val action: String) {
    /** The replica has stopped because of a failure. */
    REPLICA_STOPPED("inspect the folder with 'storage inspect', then replace the replica"),

    /** The replica knows no leader. */
    GROUP_WITHOUT_LEADER("restore the connection of a majority of the group's members"),

    /** The group can't tolerate the failure of another voter without losing its quorum. */
    GROUP_WITHOUT_RESERVE("start the missing member with an empty folder"),

    /** A member is still a learner without a vote. */
    MEMBER_LEARNING("wait until the member holds the log"),

    /** No heartbeat has arrived within the heartbeat timeout. */
    PROCESS_SILENT("check the process and its network; replace the instance if it is gone"),

    /** The process has applied an older settings revision than the committed one. */
    SETTINGS_LAGGING("check the links of the process to the control replicas"),
}
