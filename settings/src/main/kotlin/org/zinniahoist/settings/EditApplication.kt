package org.zinniahoist.settings

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import org.zinniahoist.model.BranchName
import org.zinniahoist.model.Revision

/** Validates [edit] and applies it to [tree] as [revision]. */
internal class EditApplication(
    private val tree: SettingsTree,
    private val edit: BranchEdit,
    private val revision: Revision,
) {
    private val name = edit.branch

    fun run(): Either<EditError, SettingsTree> {
        if (revision <= tree.revision) return EditError.RevisionNotNew(name, tree.revision, revision).left()
        val changed =
            when (val change = edit.change) {
                is BranchChange.Update -> update(change)
                is BranchChange.Create -> create(change)
                is BranchChange.Remove -> remove()
            }
        return changed.flatMap { validated(it) }
    }

    private fun update(change: BranchChange.Update): Either<EditError, SettingsTree> {
        val duplicates = change.unset.intersect(change.set.keys).sorted().map { EditError.DuplicateKey(name, it) }
        val unknown = change.unset.filter { TreeSchema.find(it) == null }.map { unknownKey(it) }
        return editableBranch().flatMap { branch ->
            canonical(change.set, duplicates + unknown).flatMap { set ->
                val kept = branch.values.filterKeys { it !in change.unset }
                replace(editedBranch(branch.office, kept + set)).right()
            }
        }
    }

    private fun create(change: BranchChange.Create): Either<EditError, SettingsTree> {
        creationError(change)?.let { return it.left() }
        return canonical(change.set, emptyList()).flatMap { set ->
            val inherited = name.parent?.let { tree.officeOf(it) }
            replace(editedBranch(change.office.takeIf { it != inherited }, set)).right()
        }
    }

    private fun creationError(change: BranchChange.Create): EditError? {
        if (!name.isValid()) return EditError.InvalidBranchName(name)
        tree.branches[name]?.let { return EditConflict.DuplicateBranch(name, it.revision, it.edit, it.operator) }
        val parent = name.parent
        val owner = if (parent == null) change.office else tree.officeOf(parent)
        return when {
            parent != null && parent !in tree.branches -> unknownBranch(parent.value)
            owner == null -> EditError.MissingKey(name, OFFICE_KEY, KeyType.Name.allowed)
            KeyType.Name.parse((change.office ?: owner).value) == null -> {
                EditError.OutOfRange(name, OFFICE_KEY, change.office.toString(), KeyType.Name.allowed)
            }
            owner != edit.office -> EditError.ForeignOffice(parent ?: name, owner, edit.office)
            else -> null
        }
    }

    private fun remove(): Either<EditError, SettingsTree> = editableBranch().flatMap {
        val child = tree.branches.keys.filter { it.isBelow(name) }.minByOrNull { it.value }
        child?.let { EditError.HasChildren(name, it).left() }
            ?: SettingsTree(revision, tree.branches.remove(name)).right()
    }

    /** Returns the edited branch if the operator's office owns it and its revision is the expected one. */
    private fun editableBranch(): Either<EditError, Branch> {
        val branch = tree.branches[name] ?: return unknownBranch(name.value).left()
        val owner = tree.officeOf(name)
        return when {
            owner != null && owner != edit.office -> EditError.ForeignOffice(name, owner, edit.office).left()
            branch.revision != edit.expectedRevision -> {
                EditConflict
                    .RevisionConflict(name, edit.expectedRevision, branch.revision, branch.edit, branch.operator)
                    .left()
            }
            else -> branch.right()
        }
    }

    private fun canonical(
        set: Map<String, String>,
        earlierErrors: List<EditError>,
    ): Either<EditError, Map<String, SetValue>> {
        val errors = earlierErrors.toMutableList()
        val values = mutableMapOf<String, SetValue>()
        set.toSortedMap().forEach { (key, text) ->
            val type = TreeSchema.find(key)?.type
            val canonical = type?.canonical(text)
            when {
                type == null -> errors += unknownKey(key)
                canonical == null -> errors += EditError.OutOfRange(name, key, text, type.allowed)
                else -> values[key] = SetValue(canonical, revision)
            }
        }
        return combine(errors)?.left() ?: values.right()
    }

    private fun editedBranch(office: OfficeName?, values: Map<String, SetValue>): Branch =
        Branch(name, office, revision, edit.identifier, edit.operator, values)

    private fun replace(branch: Branch): SettingsTree = SettingsTree(revision, tree.branches.put(name, branch))

    private fun validated(changed: SettingsTree): Either<EditError, SettingsTree> {
        val before = tree.resolveAll()
        val after = changed.resolveAll()
        return combine(treeConsistencyErrors(after) + foreignEffects(before, after))?.left() ?: changed.right()
    }

    private fun foreignEffects(before: ResolvedValues, after: ResolvedValues): List<EditError> =
        before.keys.filter { it.isBelow(name) && it in after }.flatMap { affected ->
            val owner = tree.officeOf(affected)
            if (owner == null || owner == edit.office) return@flatMap emptyList()
            inheritedEffects(affected, before, after).map {
                EditError.ForeignEffect(name, affected, owner, it.key, it.before, it.after)
            }
        }

    private fun unknownKey(key: String): EditError = EditError.UnknownKey(name, key, TreeSchema.suggest(key))

    private fun unknownBranch(missing: String): EditError {
        val suggestion = suggestionFor(missing, tree.branches.keys.map { it.value })
        return EditError.UnknownBranch(BranchName(missing), suggestion)
    }

    private fun combine(errors: List<EditError>): EditError? =
        if (errors.size > 1) EditError.Several(name, errors) else errors.firstOrNull()
}

/** Returns the consistency errors of all branches; an inherited error is reported only for the topmost branch. */
internal fun treeConsistencyErrors(resolved: ResolvedValues): List<EditError> {
    val found = resolved.mapValues { (branch, values) -> consistencyErrors(branch, withDefaults(values)) }
    return found.flatMap { (branch, errors) ->
        val inherited = branch.parent?.let { found[it] }.orEmpty().map { it.message.substringAfter(": ") }.toSet()
        errors.filter { it.message.substringAfter(": ") !in inherited }
    }
}

/** Key of the office in the INI section of a branch. */
internal const val OFFICE_KEY: String = "office"
