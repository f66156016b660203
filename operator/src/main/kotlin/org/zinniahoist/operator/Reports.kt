package org.zinniahoist.operator

import kotlinx.serialization.Serializable
import org.zinniahoist.model.Revision
import org.zinniahoist.settings.BranchChange
import org.zinniahoist.settings.BranchEdit
import org.zinniahoist.settings.PlannedEdit
import org.zinniahoist.state.report.StatusReport

/** Result of `plan`. */
@Serializable
internal data class PlanReport(
    val revision: Revision,
    val edits: List<PlannedEdit>,
)

/** Result of `apply` and `revert`. */
@Serializable
internal data class AppliedReport(
    val revision: Revision,
    val edits: Int,
    val inForceEverywhere: Boolean,
)

internal fun planText(revision: Revision, edits: List<PlannedEdit>): String = buildString {
    appendLine("plan against revision $revision: ${edits.size} edits")
    edits.forEach { planned ->
        append(editText(planned.edit))
        planned.effects.forEach {
            appendLine("    changes ${it.branch} ${it.key}: ${it.before ?: "unset"} -> ${it.after ?: "unset"}")
        }
    }
}

internal fun editText(edit: BranchEdit): String = buildString {
    val who = "office ${edit.office}, operator ${edit.operator}"
    when (val change = edit.change) {
        is BranchChange.Create -> {
            appendLine("create ${edit.branch} ($who)" + change.office?.let { " for office $it" }.orEmpty())
            change.set.forEach { (key, value) -> appendLine("  + $key = $value") }
        }

        is BranchChange.Update -> {
            appendLine("change ${edit.branch} at revision ${edit.expectedRevision} ($who)")
            change.set.forEach { (key, value) -> appendLine("  ~ $key = $value") }
            change.unset.forEach { appendLine("  - $it") }
        }

        BranchChange.Remove -> appendLine("remove ${edit.branch} at revision ${edit.expectedRevision} ($who)")
    }
}

internal fun statusText(status: StatusReport): String = buildString {
    appendLine("settings revision ${status.revision}, reported by ${status.reporter}")
    status.groups.forEach { group ->
        val members = group.members.joinToString { it.instance.value + if (it.voter) "" else " (learner)" }
        appendLine(
            "group ${group.name}: leader ${group.leader ?: "none"}, term ${group.term}, " +
                "committed ${group.commitIndex} of ${group.lastIndex}, members $members",
        )
    }
    status.processes.forEach { process ->
        val load = process.load?.let { ", ${it.running} running, ${it.waiting} waiting" }.orEmpty()
        val age = process.heartbeatAgeMilliseconds?.let { "$it ms ago" } ?: "never"
        val roles = process.roles.joinToString("+") { it.name.lowercase() }
        val draining = if (process.draining) ", draining" else ""
        appendLine("${process.instance} $roles: revision ${process.revision}, heartbeat $age$load$draining")
    }
    if (status.alarms.isEmpty()) appendLine("no alarms")
    status.alarms.forEach { appendLine("ALARM ${it.kind} ${it.subject}: ${it.detail}; ${it.action}") }
}
