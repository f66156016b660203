package org.zinniahoist.settings

import arrow.core.getOrElse
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.Tuple
import org.junit.jupiter.api.Test
import org.zinniahoist.model.BranchName
import org.zinniahoist.model.Revision
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty

data class AttemptedEdit(
    val office: OfficeName,
    val branch: String,
    val change: BranchChange,
)

private val VALUES =
    listOf(
        "retry.attempts" to "1", "retry.attempts" to "2", "retry.hedge" to "true",
        "admission.concurrency-minimum" to "100",
        "admission.concurrency" to "200", "model.m.fan-out" to "2", "model.m.rollout-wave" to "0.5",
        "trainer.t.model" to "m", "trainer.t.home-region" to "cz", "caller.c.home-region" to "cz",
        "caller.c.non-idempotent-services" to "orders, a", "retry.backoff" to "100ms",
    )

class SettingsTreePropertyTest {
    @Provide
    fun actions(): Arbitrary<List<AttemptedEdit>> {
        val offices = Arbitraries.of(SHARED, ALPHA, BETA)
        val branches = Arbitraries.of(
            "root",
            "root/a",
            "root/a/x",
            "root/a/y",
            "root/b",
            "root/b/x",
            "root/b/x/z",
            "root/c",
        )
        val sets = Arbitraries.of(VALUES).list().ofMaxSize(3).map { it.toMap() }
        val unsets = Arbitraries.of(VALUES.map { it.first }).set().ofMaxSize(2)
        val updates: Arbitrary<BranchChange> = Combinators.combine(sets, unsets).`as` { set, unset ->
            BranchChange.Update(
                set,
                unset - set.keys,
            )
        }
        val creations: Arbitrary<BranchChange> =
            Combinators.combine(offices.injectNull(0.5), sets).`as` { office, set -> BranchChange.Create(office, set) }
        val changes = Arbitraries.frequencyOf(
            Tuple.of(6, updates),
            Tuple.of(3, creations),
            Tuple.of(1, Arbitraries.just<BranchChange>(BranchChange.Remove)),
        )
        return Combinators.combine(offices, branches, changes).`as` { office, branch, change ->
            AttemptedEdit(office, branch, change)
        }
            .list().ofMaxSize(25)
    }

    private fun run(actions: List<AttemptedEdit>, start: SettingsTree = TWO_OFFICES): List<SettingsTree> =
        actions.runningFold(start) { tree, action ->
            tree.applyChange(action.office, action.branch, action.change).getOrElse { tree }
        }

    @Property(seed = "1", tries = 300)
    fun `an edit never changes an effective value of another office`(@ForAll("actions") actions: List<AttemptedEdit>) {
        val trees = run(actions)
        actions.forEachIndexed { index, action ->
            expectThat(changedForeignBranches(trees[index], trees[index + 1], action.office)).isEmpty()
        }
    }

    @Property(seed = "2", tries = 300)
    fun `an accepted tree round-trips through its declared files`(@ForAll("actions") actions: List<AttemptedEdit>) {
        val declared = DeclaredTree.of(run(actions).last())
        val whole = DeclaredTreeReader.parse(mapOf("all.ini" to declared.render()))
        expectThat(whole.getOrElse { error(it.joinToString("\n")) }).isEqualTo(declared)
        val parts = DeclaredTreeReader.parse(declared.renderByOffice().mapKeys { "${it.key}.ini" })
        expectThat(parts.getOrElse { error(it.joinToString("\n")) }).isEqualTo(declared)
    }

    @Property(seed = "3", tries = 300)
    fun `a plan reaches the declared tree or reports an unavoidable foreign effect`(
        @ForAll("actions") first: List<AttemptedEdit>,
        @ForAll("actions") second: List<AttemptedEdit>,
    ) {
        val current = run(first).last()
        val target = DeclaredTree.of(run(second).last())
        plan(current, target, OperatorName("o"), "p").fold(
            { errors ->
                expectThat(
                    errors.toList().flatMap {
                        it.individualErrors()
                    }.filter { isUnavoidable(it, current, target) },
                ).isNotEmpty()
            },
            { edits -> expectThat(applied(current, edits)).isEqualTo(target) },
        )
    }

    /** Whether the owner of the affected branch sets the key in neither tree, so no edit order avoids the error. */
    private fun isUnavoidable(error: EditError, current: SettingsTree, target: DeclaredTree): Boolean {
        if (error !is EditError.ForeignEffect) return false
        val own = generateSequence(error.affected) { it.parent }.filter { current.officeOf(it) == error.owner }.toList()
        val before = own.any { error.key in current.branches.getValue(it).values }
        return !(before || own.any { error.key in target.branches[it]?.values.orEmpty() })
    }

    @Property(seed = "4", tries = 300)
    fun `a plan from the empty tree always reaches the declared tree`(@ForAll("actions") actions: List<AttemptedEdit>) {
        val target = DeclaredTree.of(run(actions).last())
        val edits = plan(SettingsTree.EMPTY, target, OperatorName("o"), "p").getOrElse { error(it) }
        expectThat(applied(SettingsTree.EMPTY, edits)).isEqualTo(target)
    }

    @Property(seed = "5", tries = 300)
    fun `a delta between any two trees of a history yields the later one`(
        @ForAll("actions") actions: List<AttemptedEdit>,
    ) {
        val trees = run(actions)
        val new = trees.last()
        trees.filter { it.revision < new.revision }.forEach { old ->
            expectThat(applyDelta(old, delta(old, new)).getOrElse { error(it.message) }).isEqualTo(new)
        }
    }

    @Property(seed = "6", tries = 300)
    fun `only one of two edits with the same expected revision is accepted`(
        @ForAll("actions") actions: List<AttemptedEdit>,
    ) {
        val tree = run(actions).last()
        actions.forEach { action ->
            val edit = tree.edit(action.office, action.branch, action.change)
            val winner = tree.applyNext(edit).getOrNull() ?: return@forEach
            val refusal = winner.apply(
                edit.copy(identifier = EditIdentifier("late")),
                Revision(
                    winner.revision.value + 1,
                ),
            )
            val rejection = refusal.leftOrNull()
            if (action.change !=
                BranchChange.Remove
            ) {
                expectThat((rejection as EditConflict).winner).isEqualTo(edit.identifier)
            }
            expectThat(refusal.isLeft()).isEqualTo(true)
        }
    }

    @Test
    fun `changedForeignBranches detects a tree changed without validation`() {
        val root = TWO_OFFICES.branches.getValue(BranchName("root"))
        val changed = root.copy(values = mapOf("retry.attempts" to SetValue("1", Revision(6))))
        val unchecked = SettingsTree(Revision(6), TWO_OFFICES.branches.put(root.name, changed))
        expectThat(changedForeignBranches(TWO_OFFICES, unchecked, SHARED).sorted())
            .isEqualTo(listOf("root/a", "root/a/x"))
    }

    private fun EditError.individualErrors(): List<EditError> = if (this is EditError.Several) errors else listOf(this)
}
