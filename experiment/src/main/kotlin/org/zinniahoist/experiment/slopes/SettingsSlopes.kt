package org.zinniahoist.experiment.slopes

import arrow.core.getOrElse
import org.zinniahoist.model.BranchName
import org.zinniahoist.model.Revision
import org.zinniahoist.settings.BranchChange
import org.zinniahoist.settings.BranchEdit
import org.zinniahoist.settings.EditIdentifier
import org.zinniahoist.settings.OfficeName
import org.zinniahoist.settings.OperatorName
import org.zinniahoist.settings.SettingsTree
import org.zinniahoist.settings.TreeDelta
import org.zinniahoist.settings.applyDelta
import org.zinniahoist.settings.delta
import org.zinniahoist.state.StateCodec

private val OFFICE = OfficeName("operations")
private val OPERATOR = OperatorName("operator-1")
private val BRANCHES = listOf(10, 100, 1_000)
private const val REGIONS = 3

/** Costs of one edit of one branch, from its validation to its adoption by a daemon. */
internal fun measureSettings(meter: Meter, print: (Row) -> Unit): Unit = BRANCHES.forEach { count ->
    val at = "$count branches"
    val old = sampleTree(count)
    val edit = sampleEdit(old)
    val new = old.applied(edit)
    val encoded = StateCodec.encode(delta(old, new))
    val whole = StateCodec.encode(new)
    print(Row("settings delta of one branch", at, encoded.size.toDouble(), "B"))
    print(Row("settings tree", at, whole.size.toDouble(), "B"))
    print(Row("settings edit, validate and apply", at, meter.microseconds { old.applied(edit) }, "µs CPU"))
    print(
        Row("settings delta, make and encode", at, meter.microseconds { StateCodec.encode(delta(old, new)) }, "µs CPU"),
    )
    val adopt = meter.microseconds {
        val adopted = applyDelta(old, StateCodec.decode<TreeDelta>(encoded)).getOrElse { error(it.message) }
        adopted.effectiveSettings(edit.branch)
    }
    print(Row("settings delta, decode and adopt", at, adopt, "µs CPU"))
    print(Row("settings tree, encode", at, meter.microseconds { StateCodec.encode(new) }, "µs CPU"))
    val retained = meter.retainedBytes { StateCodec.decode<SettingsTree>(whole) }
    print(Row("settings tree, heap", at, retained, "B"))
}

/** The delta of an edit of one branch of a tree with [branches] branches. */
internal fun sampleDelta(branches: Int): TreeDelta {
    val tree = sampleTree(branches)
    return delta(tree, tree.applied(sampleEdit(tree)))
}

private fun sampleTree(branches: Int): SettingsTree {
    val regions = List(REGIONS) { "root/region-$it" }
    val names = listOf("root") + regions + List(branches - 1 - REGIONS) { "root/region-${it % REGIONS}/domain-$it" }
    return names.foldIndexed(SettingsTree.EMPTY) { index, tree, name ->
        val values = mapOf("routing.subset-size" to "${index % 60 + 1}", "admission.queue-length" to "${index + 100}")
        val change = BranchChange.Create(OFFICE.takeIf { name == "root" }, values)
        tree.applied(edit(name, tree, change))
    }
}

private fun sampleEdit(tree: SettingsTree): BranchEdit =
    edit("root/region-1/domain-1", tree, BranchChange.Update(mapOf("routing.subset-size" to "61")))

private fun edit(branch: String, tree: SettingsTree, change: BranchChange): BranchEdit {
    val name = BranchName(branch)
    val identifier = EditIdentifier("edit-${tree.revision}")
    return BranchEdit(identifier, OFFICE, OPERATOR, name, tree.branches[name]?.revision ?: Revision.NONE, change)
}

private fun SettingsTree.applied(edit: BranchEdit): SettingsTree =
    apply(edit, Revision(revision.value + 1)).getOrElse { error(it.message) }
