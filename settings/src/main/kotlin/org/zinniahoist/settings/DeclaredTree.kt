package org.zinniahoist.settings

import kotlinx.collections.immutable.toPersistentMap
import org.zinniahoist.model.BranchName
import org.zinniahoist.model.Revision

/** What files declare of one branch. Values are canonical texts. */
public data class DeclaredBranch(
    /** The office whose part starts here, or null if the branch belongs to the office of its parent. */
    public val office: OfficeName?,
    public val values: Map<String, String>,
)

/** A whole tree as files declare it, without revisions. */
public data class DeclaredTree(public val branches: Map<BranchName, DeclaredBranch>) {
    /** Returns the INI form: a section for each branch in the order of names, with its keys in order. */
    public fun render(): String = branches.entries.sortedBy { it.key.value }.joinToString("\n") { (name, branch) ->
        val office = branch.office?.let { listOf(OFFICE_KEY to it.value) }.orEmpty()
        val lines = office + branch.values.toSortedMap().toList()
        "[$name]\n" + lines.joinToString("") { (key, value) -> "$key = $value".trimEnd() + "\n" }
    }

    /** Returns the INI form of each office's branches by office, so that each office keeps its own file. */
    public fun renderByOffice(): Map<OfficeName, String> = branches.keys
        .groupBy { name ->
            checkNotNull(generateSequence(name) { it.parent }.firstNotNullOf { branches[it]?.office })
        }
        .mapValues { (_, names) -> DeclaredTree(branches.filterKeys { it in names }).render() }

    /** Returns the tree with all branches at revision 1, to validate it. */
    internal fun toTree(): SettingsTree {
        val revision = Revision(1)
        val all =
            branches.mapValues { (name, branch) ->
                val values = branch.values.mapValues { SetValue(it.value, revision) }
                Branch(name, branch.office, revision, EditIdentifier("declared"), OperatorName("declared"), values)
            }
        return SettingsTree(revision, all.toPersistentMap())
    }

    public companion object {
        /** Returns what files would declare for [tree]. */
        public fun of(tree: SettingsTree): DeclaredTree = DeclaredTree(
            tree.branches.mapValues { (_, branch) ->
                DeclaredBranch(branch.office, branch.values.mapValues { it.value.text })
            },
        )
    }
}
