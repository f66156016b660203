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

internal fun SettingsTree.next(edit: BranchEdit) = apply(edit, Revision(revision.value + 1))

internal fun SettingsTree.tried(office: OfficeName, branch: String, change: BranchChange) =
    next(edit(office, branch, change))

internal fun SettingsTree.create(
    office: OfficeName,
    branch: String,
    part: OfficeName?,
    vararg set: Pair<String, String>,
) = tried(office, branch, BranchChange.Create(part, set.toMap())).getOrElse { error(it.message) }

internal fun SettingsTree.set(office: OfficeName, branch: String, vararg set: Pair<String, String>) =
    tried(office, branch, BranchChange.Update(set.toMap()))

internal fun SettingsTree.values(branch: String): Map<String, String> =
    effective(BranchName(branch)).orEmpty().mapValues { it.value.value }

/** Two offices below a shared root, each with a branch below its own. */
internal val TWO_OFFICES: SettingsTree =
    SettingsTree.EMPTY
        .create(SHARED, "root", SHARED, "retry.attempts" to "2")
        .create(SHARED, "root/a", ALPHA)
        .create(ALPHA, "root/a/x", null, "routing.choices" to "4")
        .create(SHARED, "root/b", BETA, "retry.attempts" to "5")
        .create(BETA, "root/b/x", null)

/** Values that differ in branches of other offices than [office]; the promise of the tree is that there are none. */
internal fun foreignChanges(before: SettingsTree, after: SettingsTree, office: OfficeName): List<String> =
    before.branches.keys.map { it.value }.filter {
        before.officeOf(BranchName(it)) != office &&
            before.values(it) != after.values(it)
    }
