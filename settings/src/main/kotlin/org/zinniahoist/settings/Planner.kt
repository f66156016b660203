package org.zinniahoist.settings

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import org.zinniahoist.model.BranchName
import org.zinniahoist.model.Revision

private data class PlannedChange(
    val branch: BranchName,
    val change: BranchChange,
)

/** Strategy for splitting and ordering the edits of a plan. */
internal enum class PlanOrder {
    /** One edit for each branch, deepest first. */
    ONE_EDIT_PER_BRANCH,

    /**
     * Sets values deepest first and unsets values from the root down, in separate edits where needed.
     *
     * An office may have to set one key before, and unset another key after, an edit of an ancestor branch.
     */
    SETS_BEFORE_UNSETS,
}

/** Plans the edits that transform [current] into [declared]. */
internal class Planner(
    private val current: SettingsTree,
    private val declared: DeclaredTree,
    private val operator: OperatorName,
    private val identifierPrefix: String,
    private val order: PlanOrder,
) {
    private var tree = current
    private val planned = mutableListOf<PlannedEdit>()

    fun run(): Either<NonEmptyList<EditError>, List<PlannedEdit>> {
        val errors = removals().mapNotNull { tryApply(it) } + applyUpdates() + creations().mapNotNull { tryApply(it) }
        return errors.toNonEmptyListOrNull()?.left() ?: planned.right()
    }

    /** Returns removals, deepest first, of branches that are undeclared or change owner, and of their descendants. */
    private fun removals(): List<PlannedChange> = current.branches.keys
        .filter { name -> generateSequence(name) { it.parent }.any { !isKept(it) } }
        .sortedWith(DEEPEST_FIRST)
        .map { PlannedChange(it, BranchChange.Remove) }

    private fun isKept(name: BranchName): Boolean {
        val branch = declared.branches[name] ?: return false
        val inherited = name.parent?.let { parent -> current.officeOf(parent) }
        return current.branches[name]?.office == branch.office.takeIf { it != inherited }
    }

    private fun creations(): List<PlannedChange> = declared.branches.entries
        .filter { it.key !in tree.branches }
        .sortedBy { it.key.value }
        .map { PlannedChange(it.key, BranchChange.Create(it.value.office, it.value.values)) }

    private fun updates(): List<PlannedChange> =
        tree.branches.values.sortedWith(compareBy(DEEPEST_FIRST) { it.name }).mapNotNull { branch ->
            val old = branch.values.mapValues { it.value.text }
            val new = declared.branches[branch.name]?.values ?: return@mapNotNull null
            val set = new.filter { old[it.key] != it.value }
            val unset = old.keys - new.keys
            val change = BranchChange.Update(set.toSortedMap(), unset.toSortedSet())
            PlannedChange(branch.name, change).takeIf { set.isNotEmpty() || unset.isNotEmpty() }
        }

    /** Applies updates until no pending update is accepted; returns the errors of the remaining ones. */
    private fun applyUpdates(): List<EditError> {
        while (true) {
            val pending = updates()
            val candidates = if (order == PlanOrder.SETS_BEFORE_UNSETS) splitUpdates(pending) + pending else pending
            if (candidates.none { tryApply(it) == null }) return pending.mapNotNull { errorOf(it) }
        }
    }

    private fun splitUpdates(pending: List<PlannedChange>): List<PlannedChange> {
        val updates = pending.map { it.branch to it.change as BranchChange.Update }
        val sets = updates.map { (branch, change) -> PlannedChange(branch, change.copy(unset = emptySet())) }
        val unsets = updates.map { (branch, change) -> PlannedChange(branch, change.copy(set = emptyMap())) }
        return (sets + unsets.asReversed()).filter { it.change != BranchChange.Update() }
    }

    private fun errorOf(change: PlannedChange): EditError? = tree.apply(edit(change), nextRevision()).leftOrNull()

    private fun tryApply(change: PlannedChange): EditError? {
        val edit = edit(change)
        val result = tree.apply(edit, nextRevision()).getOrElse { return it }
        planned += PlannedEdit(edit, effects(change.branch, result))
        tree = result
        return null
    }

    private fun nextRevision(): Revision = Revision(tree.revision.value + 1)

    private fun effects(branch: BranchName, result: SettingsTree): List<InheritedEffect> {
        val before = tree.resolveAll()
        val after = result.resolveAll()
        val below = before.keys.filter { it.isBelow(branch) && it in after }
        return below.flatMap { inheritedEffects(it, before, after) }
    }

    private fun edit(planned: PlannedChange): BranchEdit {
        val name = planned.branch
        val owner =
            when (val change = planned.change) {
                is BranchChange.Create -> name.parent?.let { tree.officeOf(it) } ?: change.office
                else -> tree.officeOf(name)
            }
        return BranchEdit(
            identifier = EditIdentifier("$identifierPrefix-${this.planned.size + 1}"),
            office = owner ?: OfficeName(""),
            operator = operator,
            branch = name,
            expectedRevision = tree.branches[name]?.revision ?: Revision.NONE,
            change = planned.change,
        )
    }

    private companion object {
        val DEEPEST_FIRST: Comparator<BranchName> = compareBy({ -it.depth }, { it.value })
    }
}
