package org.zinniahoist.operator

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.dynatrace.hash4j.hashing.Hashing
import kotlinx.serialization.json.Json
import org.zinniahoist.model.BranchName
import org.zinniahoist.model.Revision
import org.zinniahoist.settings.BranchEdit
import org.zinniahoist.settings.EditIdentifier
import org.zinniahoist.settings.SettingsTree
import org.zinniahoist.state.coordination.EditResult
import org.zinniahoist.state.report.ProcessReport

/** Submits the edits of a plan made against [tree]. */
internal class EditSubmission(
    private val api: ControlApi,
    private val tree: SettingsTree,
    private val console: Console,
) {
    private val accepted = HashMap<BranchName, Revision>()

    /** Returns the revision of the last edit, or that of the tree if there are no [edits]. */
    fun submit(edits: List<BranchEdit>): Either<CommandFailure, Revision> {
        var last = tree.revision
        edits.forEachIndexed { index, planned ->
            val edit = finish(planned)
            val place = "edit ${index + 1} of ${edits.size}"
            val result = api.edit(edit).fold(
                { return it.copy(message = "$place of branch ${edit.branch}: ${it.message}").left() },
                { it },
            )
            last = when (result) {
                is EditResult.Accepted -> result.revision
                is EditResult.Refused -> return CommandFailure.refused("$place: ${result.error.message}").left()
                EditResult.IdentifierReused ->
                    return CommandFailure.refused("$place: ${edit.identifier} was used for another edit").left()
            }
            accepted[edit.branch] = last
            console.note("$place: branch ${edit.branch} has revision $last")
        }
        return last.right()
    }

    /**
     * Derives the identifier from the content and from the revision of the tree.
     *
     * The same command run again against the same tree sends the same identifiers, so each edit is made once. With the
     * revision, an edit that was refused is judged again when the tree has changed.
     */
    private fun finish(planned: BranchEdit): BranchEdit {
        // Edits of others may have taken the revisions that the plan foresaw for a branch that it edits twice.
        val expected = accepted[planned.branch] ?: planned.expectedRevision
        val edit = planned.copy(expectedRevision = expected, identifier = EditIdentifier(""))
        val content = "${tree.revision} ${Json.encodeToString(BranchEdit.serializer(), edit)}"
        val hash = Hashing.murmur3_128().hashCharsTo128Bits(content)
        return edit.copy(identifier = EditIdentifier("ctl-$hash"))
    }
}

/** Waits until settings are in force. */
internal class ForceWait(
    private val api: ControlApi,
    private val console: Console,
) {
    /** Polls the status for about [seconds], which ends with the names of the processes that lag. */
    fun await(revision: Revision, seconds: Int): Either<CommandFailure, Unit> {
        var lagging = emptyList<ProcessReport>()
        var reason = ""
        repeat(maxOf(1, seconds * POLLS_PER_SECOND)) { poll ->
            if (poll > 0) console.waitFor(MILLISECONDS_PER_SECOND / POLLS_PER_SECOND)
            val status = api.status().fold(
                {
                    reason = it.message
                    return@repeat
                },
                { it },
            )
            val before = lagging.size
            lagging = status.processes.filter { it.revision < revision }
            reason = lagging.joinToString { "${it.instance} (revision ${it.revision})" }
            if (lagging.isEmpty()) return Unit.right()
            if (lagging.size != before) {
                val total = status.processes.size
                console.note("revision $revision in force in ${total - lagging.size} of $total processes")
            }
        }
        return CommandFailure.unavailable("revision $revision is accepted, but not in force everywhere: $reason").left()
    }

    private companion object {
        const val POLLS_PER_SECOND = 2
        const val MILLISECONDS_PER_SECOND = 1_000L
    }
}
