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

data class Action(
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
    fun actions(): Arbitrary<List<Action>> {
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
            Action(office, branch, change)
        }
            .list().ofMaxSize(25)
    }

    private fun run(actions: List<Action>, start: SettingsTree = TWO_OFFICES): List<SettingsTree> =
        actions.runningFold(start) { tree, action ->
            tree.tried(action.office, action.branch, action.change).getOrElse { tree }
        }

    @Property(seed = "1", tries = 300)
    fun `an edit never changes a value in force of another office`(@ForAll("actions") actions: List<Action>) {
        val trees = run(actions)
        actions.forEachIndexed { index, action ->
            expectThat(foreignChanges(trees[index], trees[index + 1], action.office)).isEmpty()
        }
    }

    @Property(seed = "2", tries = 300)
    fun `an accepted tree is one that files may declare and is read back equal`(
        @ForAll("actions") actions: List<Action>,
    ) {
        val declared = DeclaredTree.of(run(actions).last())
        val whole = DeclaredTreeReader.parse(mapOf("all.ini" to declared.render()))
        expectThat(whole.getOrElse { error(it.joinToString("\n")) }).isEqualTo(declared)
        val parts = DeclaredTreeReader.parse(declared.renderByOffice().mapKeys { "${it.key}.ini" })
        expectThat(parts.getOrElse { error(it.joinToString("\n")) }).isEqualTo(declared)
    }

    @Property(seed = "3", tries = 300)
    fun `a plan reaches the declared tree or names what another office inherits`(
        @ForAll("actions") first: List<Action>,
        @ForAll("actions") second: List<Action>,
    ) {
        val current = run(first).last()
        val target = DeclaredTree.of(run(second).last())
        plan(current, target, OperatorName("o"), "p").fold(
            { errors ->
                expectThat(
                    errors.toList().flatMap {
                        it.each()
                    }.filter { isUnavoidable(it, current, target) },
                ).isNotEmpty()
            },
            { edits -> expectThat(applied(current, edits)).isEqualTo(target) },
        )
    }

    /** Whether the owner of the affected branch sets the key neither before nor after, so that no order helps. */
    private fun isUnavoidable(error: EditError, current: SettingsTree, target: DeclaredTree): Boolean {
        if (error !is EditError.ForeignEffect) return false
        val own = generateSequence(error.affected) { it.parent }.filter { current.officeOf(it) == error.owner }.toList()
        val before = own.any { error.key in current.branches.getValue(it).values }
        return !(before || own.any { error.key in target.branches[it]?.values.orEmpty() })
    }

    @Property(seed = "4", tries = 300)
    fun `from nothing, a plan always reaches the declared tree`(@ForAll("actions") actions: List<Action>) {
        val target = DeclaredTree.of(run(actions).last())
        val edits = plan(SettingsTree.EMPTY, target, OperatorName("o"), "p").getOrElse { error(it) }
        expectThat(applied(SettingsTree.EMPTY, edits)).isEqualTo(target)
    }

    @Property(seed = "5", tries = 300)
    fun `a delta of any two trees of a history gives the later one`(@ForAll("actions") actions: List<Action>) {
        val trees = run(actions)
        val new = trees.last()
        trees.filter { it.revision < new.revision }.forEach { old ->
            expectThat(applyDelta(old, delta(old, new)).getOrElse { error(it.message) }).isEqualTo(new)
        }
    }

    @Property(seed = "6", tries = 300)
    fun `of two edits with equal revisions one wins`(@ForAll("actions") actions: List<Action>) {
        val tree = run(actions).last()
        actions.forEach { action ->
            val edit = tree.edit(action.office, action.branch, action.change)
            val winner = tree.next(edit).getOrNull() ?: return@forEach
            val refusal = winner.apply(
                edit.copy(identifier = EditIdentifier("late")),
                Revision(
                    winner.revision.value + 1,
                ),
            )
            val named = refusal.leftOrNull()
            if (action.change !=
                BranchChange.Remove
            ) {
                expectThat((named as EditConflict).winner).isEqualTo(edit.identifier)
            }
            expectThat(refusal.isLeft()).isEqualTo(true)
        }
    }

    @Test
    fun `the check for other offices sees an edit that skips the checks`() {
        val root = TWO_OFFICES.branches.getValue(BranchName("root"))
        val changed = root.copy(values = mapOf("retry.attempts" to SetValue("1", Revision(6))))
        val unchecked = SettingsTree(Revision(6), TWO_OFFICES.branches.put(root.name, changed))
        expectThat(foreignChanges(TWO_OFFICES, unchecked, SHARED).sorted()).isEqualTo(listOf("root/a", "root/a/x"))
    }

    private fun EditError.each(): List<EditError> = if (this is EditError.Several) errors else listOf(this)
}
