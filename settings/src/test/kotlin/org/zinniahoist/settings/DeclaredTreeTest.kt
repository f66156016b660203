package org.zinniahoist.settings

import arrow.core.getOrElse
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.zinniahoist.model.BranchName
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo

private val OPERATOR = OperatorName("jana")

private fun errors(vararg files: Pair<String, String>): List<String> =
    DeclaredTreeReader.parse(files.toMap()).fold({ errors -> errors.map { it.toString() } }, { emptyList() })

class DeclaredTreeTest {
    private val declared = DeclaredTree.of(TWO_OFFICES)

    private fun changed(branch: String, vararg set: Pair<String, String>): DeclaredTree {
        val name = BranchName(branch)
        val before = declared.branches[name] ?: DeclaredBranch(null, emptyMap())
        return DeclaredTree(declared.branches + (name to before.copy(values = before.values + set)))
    }

    private fun plan(declared: DeclaredTree) = plan(TWO_OFFICES, declared, OPERATOR, "p")

    @Nested
    inner class `Invalid files` {
        @Test
        fun `report all errors with file and line`() {
            val shared =
                "stray = 1\n[root]\nretry.atempts = 2\nretry.attempts = 99\nretry.hedge = true\nretry.hedge = false\n" +
                    "[root]\n[Root/a]\noffice = x\n"
            expectThat(
                errors("s.ini" to shared, "a.ini" to "[root/a]\noffice = A b\n[root/b/c]\n[oops\n"),
            ).containsExactly(
                "a.ini:2: key 'office' has value 'A b'; allowed: ${KeyType.Name.allowed}",
                "a.ini:3: unknown section [root/b/c]; allowed: branches below a declared branch; " +
                    "[root/b] is not declared; did you mean 'root/a'?",
                "a.ini:4: '[oops' is not '[section]', 'key = value' or a comment",
                "s.ini:1: unknown section [?]; allowed: $BRANCH_NAME_FORMAT",
                "s.ini:2: key 'office' is missing; allowed: ${KeyType.Name.allowed}",
                "s.ini:3: unknown key 'retry.atempts' with value '2'; allowed: keys of the reference; " +
                    "did you mean 'retry.attempts'?",
                "s.ini:4: key 'retry.attempts' has value '99'; allowed: a whole number from 1 to 10",
                "s.ini:6: key 'retry.hedge' with value 'false' was already given at s.ini:5; allowed: once",
                "s.ini:7: section [root] was already given at s.ini:2; allowed: once",
                "s.ini:8: unknown section [Root/a]; allowed: $BRANCH_NAME_FORMAT",
            )
        }

        @Test
        fun `report an inconsistent value at the line that sets it`() {
            val root = "s.ini" to "[root]\noffice = s\nadmission.concurrency-maximum = 32\ntrainer.t.model = m\n"
            val below = "a.ini" to "[root/a]\nadmission.concurrency = 40\nadmission.concurrency-minimum = 50\n"
            expectThat(errors(root, below)).containsExactly(
                "a.ini:3: key 'admission.concurrency-minimum' has value '50'; " +
                    "allowed: at most admission.concurrency-maximum: 32",
                "s.ini:1: key 'admission.concurrency' has value '64'; allowed: from " +
                    "admission.concurrency-minimum to admission.concurrency-maximum: 4 to 32",
                "s.ini:1: key 'trainer.t.home-region' is missing; allowed: ${KeyType.Name.allowed}",
                "s.ini:4: key 'trainer.t.model' has value 'm'; allowed: a declared model: none",
            )
        }

        @Test
        fun `report every unreadable file`() {
            val paths = listOf("none-1.ini", "none-2.ini").map { java.nio.file.Path.of(it) }
            val found = DeclaredTreeReader.read(paths).leftOrNull().orEmpty().map { it.toString() }
            expectThat(found).containsExactly(
                "none-1.ini: can't be read: NoSuchFileException: none-1.ini",
                "none-2.ini: can't be read: NoSuchFileException: none-2.ini",
            )
        }
    }

    @Test
    fun `Rendering round-trips sets, empty sets, durations and sizes`() {
        val lines =
            "caller.c.home-region = cz\ncaller.c.non-idempotent-services = a, orders\ncaller.d.home-region = cz\n" +
                "caller.d.non-idempotent-services =\nlimits.body-size = 64KiB\nretry.hedge-delay = 1m 30s\n"
        val text = "[root]\noffice = s\n$lines"
        val tree = DeclaredTreeReader.parse(mapOf("s.ini" to text)).getOrElse { error(it.joinToString("\n")) }
        expectThat(tree.branches.values.single().values.size).isEqualTo(6)
        expectThat(tree.render()).isEqualTo(text)
    }

    @Nested
    inner class `A plan` {
        @Test
        fun `lists the changed inherited values in a fixed order`() {
            val edits = plan(changed("root/a", "retry.attempts" to "3")).getOrElse { error(it) }
            expectThat(edits.single().effects)
                .containsExactly(InheritedEffect(BranchName("root/a/x"), "retry.attempts", "2", "3"))
            expectThat(edits.single().edit.office).isEqualTo(ALPHA)
        }

        @Test
        fun `sets the own value of an office before the shared value changes`() {
            val shared = changed("root", "retry.attempts" to "1")
            expectThat(plan(shared).leftOrNull()?.map { it.branch }.orEmpty()).containsExactly(BranchName("root"))
            val own = DeclaredBranch(ALPHA, mapOf("retry.attempts" to "2"))
            val both = DeclaredTree(shared.branches + (BranchName("root/a") to own))
            expectThat(
                plan(both).getOrElse {
                    error(it)
                }.map { it.edit.branch.value },
            ).containsExactly("root/a", "root")
        }

        @Test
        fun `sets one value before and unsets another after the shared values change`() {
            val before = TWO_OFFICES.set(BETA, "root/b", "retry.backoff" to "1s").getOrElse { error(it.message) }
            val target =
                declared.branches +
                    (
                        BranchName("root") to
                            DeclaredBranch(SHARED, mapOf("retry.attempts" to "3", "retry.backoff" to "2s"))
                        ) +
                    (
                        BranchName("root/a") to
                            DeclaredBranch(ALPHA, mapOf("retry.attempts" to "2", "retry.backoff" to "50ms"))
                        ) +
                    (
                        BranchName("root/b") to
                            DeclaredBranch(BETA, mapOf("retry.backoff" to "1s", "retry.hedge" to "true"))
                        )
            val edits = plan(before, DeclaredTree(target), OPERATOR, "p").getOrElse { error(it) }
            expectThat(applied(before, edits)).isEqualTo(DeclaredTree(target))
        }

        @Test
        fun `re-creates a branch and its descendants when it moves to another office`() {
            val given = DeclaredTree(declared.branches + (BranchName("root/a") to DeclaredBranch(BETA, emptyMap())))
            val edits = plan(given).getOrElse { error(it) }
            expectThat(edits.map { it.edit.branch.value }).containsExactly("root/a/x", "root/a", "root/a", "root/a/x")
            expectThat(applied(TWO_OFFICES, edits)).isEqualTo(given)
        }

        @Test
        fun `is empty for an unchanged tree and reverts a later edit`() {
            expectThat(plan(declared).getOrElse { error(it) }).isEqualTo(emptyList())
            val later = TWO_OFFICES.set(ALPHA, "root/a", "retry.hedge" to "true").getOrElse { error(it.message) }
            val revert = planRevert(later, TWO_OFFICES, OPERATOR, "r").getOrElse { error(it) }
            expectThat(revert.single().edit.change).isEqualTo(BranchChange.Update(unset = setOf("retry.hedge")))
            expectThat(applied(later, revert)).isEqualTo(declared)
        }
    }
}

internal fun applied(tree: SettingsTree, edits: List<PlannedEdit>): DeclaredTree = DeclaredTree.of(
    edits.fold(tree) { before, planned -> before.applyNext(planned.edit).getOrElse { error(it.message) } },
)
