package org.zinniahoist.state.coordination

import kotlinx.serialization.Serializable
import org.zinniahoist.model.Revision
import org.zinniahoist.settings.BranchEdit
import org.zinniahoist.settings.EditIdentifier
import org.zinniahoist.settings.SettingsTree

/**
 * Applies edits to the settings tree and retains the outcome of each edit for the retention period.
 *
 * All times are milliseconds of the replicated log's clock, which never decreases.
 */
internal class EditLedger(private val retentionMilliseconds: Long = DEFAULT_RETENTION_MILLISECONDS) {
    private val answers = LinkedHashMap<EditIdentifier, EditAnswer>()
    private val history = ArrayDeque<AcceptedEdit>()

    var tree: SettingsTree = SettingsTree.EMPTY
        private set

    fun submit(edit: BranchEdit, timeMilliseconds: Long): EditResult {
        expire(timeMilliseconds)
        answers[edit.identifier]?.let { known ->
            return if (known.edit == edit) known.result else EditResult.IdentifierReused
        }
        val revision = Revision(tree.revision.value + 1)
        val result = tree.apply(edit, revision).fold(
            { EditResult.Refused(it) },
            { changed ->
                tree = changed
                history.addLast(AcceptedEdit(revision, timeMilliseconds, edit))
                if (history.size > RETAINED_HISTORY_EDITS) history.removeFirst()
                EditResult.Accepted(revision)
            },
        )
        answers[edit.identifier] = EditAnswer(edit, timeMilliseconds, result)
        return result
    }

    fun historyAfter(revision: Long, limit: Int): List<AcceptedEdit> =
        history.filter { it.revision.value > revision }.take(limit)

    fun capture(): EditState = EditState(tree, answers.values.toList(), history.toList())

    fun restore(state: EditState) {
        tree = state.tree
        answers.clear()
        state.answers.forEach { answers[it.edit.identifier] = it }
        history.clear()
        history.addAll(state.history)
    }

    private fun expire(timeMilliseconds: Long) {
        val limit = timeMilliseconds - retentionMilliseconds
        val iterator = answers.values.iterator()
        while (iterator.hasNext() && iterator.next().timeMilliseconds <= limit) iterator.remove()
    }

    companion object {
        /** 24 hours, because an operator retries an edit within the same working day. */
        const val DEFAULT_RETENTION_MILLISECONDS: Long = 86_400_000

        /** Covers about one and a half hours at 64,000 edits a day. */
        const val RETAINED_HISTORY_EDITS: Int = 4_096
    }
}

@Serializable
internal data class EditAnswer(
    val edit: BranchEdit,
    val timeMilliseconds: Long,
    val result: EditResult,
)

@Serializable
internal data class EditState(
    val tree: SettingsTree,
    val answers: List<EditAnswer>,
    val history: List<AcceptedEdit>,
)
