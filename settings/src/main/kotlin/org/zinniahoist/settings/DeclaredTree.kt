package org.zinniahoist.settings

import kotlinx.collections.immutable.toPersistentMap
import org.zinniahoist.model.BranchName
import org.zinniahoist.model.Revision

/** Declaration of one branch in the settings files. Values are canonical texts. */
public data class DeclaredBranch(
    /** Office that owns the subtree starting at this branch, or null if the branch inherits its owner. */
    public val office: OfficeName?,
    public val values: Map<String, String>,
)

/** Settings tree as declared in files, without revisions. */
public data class DeclaredTree(public val branches: Map<BranchName, DeclaredBranch>) {
    /** Renders the tree as INI text: one section per branch, with branches and keys sorted by name. */
    public fun render(): String = branches.entries.sortedBy { it.key.value }.joinToString("\n") { (name, branch) ->
        val office = branch.office?.let { listOf(OFFICE_KEY to it.value) }.orEmpty()
        val lines = office + branch.values.toSortedMap().toList()
        "[$name]\n" + lines.joinToString("") { (key, value) -> "$key = $value".trimEnd() + "\n" }
    }

    /** Renders the branches of each office as separate INI text, so that each office maintains its own file. */
    public fun renderByOffice(): Map<OfficeName, String> = branches.keys
        .groupBy { name ->
            checkNotNull(generateSequence(name) { it.parent }.firstNotNullOf { branches[it]?.office })
        }
        .mapValues { (_, names) -> DeclaredTree(branches.filterKeys { it in names }).render() }

    /** Returns a settings tree with all branches at revision 1, for validation. */
    internal fun toTree(): SettingsTree {
        val revision = Revision(1)
        val versionedBranches =
            branches.mapValues { (name, branch) ->
                val values = branch.values.mapValues { SetValue(it.value, revision) }
                Branch(name, branch.office, revision, EditIdentifier("declared"), OperatorName("declared"), values)
            }
        return SettingsTree(revision, versionedBranches.toPersistentMap())
    }

    public companion object {
        /** Returns the declaration that is equivalent to [tree]. */
        public fun of(tree: SettingsTree): DeclaredTree = DeclaredTree(
            tree.branches.mapValues { (_, branch) ->
                DeclaredBranch(branch.office, branch.values.mapValues { it.value.text })
            },
        )
    }
}
