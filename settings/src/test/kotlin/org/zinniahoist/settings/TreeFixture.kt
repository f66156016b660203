package org.zinniahoist.settings

import arrow.core.getOrElse
import org.zinniahoist.model.BranchName
import org.zinniahoist.model.Revision

internal val SHARED = OfficeName("shared")
internal val ALPHA = OfficeName("alpha")
internal val BETA = OfficeName("beta")

internal fun SettingsTree.edit(office: OfficeName, branch: String, change: BranchChange): BranchEdit {
    val name = BranchName(branch)
    val expected = branches[name]?.revision ?: Revision.NONE
    return BranchEdit(
        EditIdentifier("e${revision.value + 1}"),
        office,
        OperatorName("$office-operator"),
        name,
        expected,
        change,
    )
}

internal fun SettingsTree.applyNext(edit: BranchEdit) = apply(edit, Revision(revision.value + 1))

internal fun SettingsTree.applyChange(office: OfficeName, branch: String, change: BranchChange) =
    applyNext(edit(office, branch, change))

internal fun SettingsTree.create(
    office: OfficeName,
    branch: String,
    newOwner: OfficeName?,
    vararg set: Pair<String, String>,
) = applyChange(office, branch, BranchChange.Create(newOwner, set.toMap())).getOrElse { error(it.message) }

internal fun SettingsTree.set(office: OfficeName, branch: String, vararg set: Pair<String, String>) =
    applyChange(office, branch, BranchChange.Update(set.toMap()))

internal fun SettingsTree.values(branch: String): Map<String, String> =
    effective(BranchName(branch)).orEmpty().mapValues { it.value.value }

/** Tree of two offices below a shared root, each owning a branch and one child branch. */
internal val TWO_OFFICES: SettingsTree =
    SettingsTree.EMPTY
        .create(SHARED, "root", SHARED, "retry.attempts" to "2")
        .create(SHARED, "root/a", ALPHA)
        .create(ALPHA, "root/a/x", null, "routing.choices" to "4")
        .create(SHARED, "root/b", BETA, "retry.attempts" to "5")
        .create(BETA, "root/b/x", null)

/**
 * Returns the branches owned by offices other than [office] whose effective values differ.
 *
 * The settings tree guarantees that an edit by [office] yields none.
 */
internal fun changedForeignBranches(before: SettingsTree, after: SettingsTree, office: OfficeName): List<String> =
    before.branches.keys.map { it.value }.filter {
        before.officeOf(BranchName(it)) != office &&
            before.values(it) != after.values(it)
    }
