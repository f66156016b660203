package org.zinniahoist.settings

import arrow.core.getOrElse
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.zinniahoist.model.BranchName
import org.zinniahoist.model.Role
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import java.nio.file.Files
import java.nio.file.Path

/** Root of the repository; Surefire uses the module folder as working directory. */
private val ROOT_FOLDER = Path.of("..")

private fun filesOf(folder: String): List<Path> =
    Files.list(ROOT_FOLDER.resolve("examples").resolve(folder)).use { files -> files.sorted().toList() }

class CommittedFilesTest {
    @Nested
    inner class `The examples` {
        private fun tree(user: String): SettingsTree {
            val declared = DeclaredTreeReader.read(filesOf("$user/tree")).getOrElse { error(it.joinToString("\n")) }
            val edits = plan(SettingsTree.EMPTY, declared, OperatorName("o"), "p").getOrElse { error(it) }
            return edits.fold(SettingsTree.EMPTY) { tree, planned ->
                tree.applyNext(planned.edit).getOrElse { error(it.message) }
            }
        }

        @ParameterizedTest
        @ValueSource(strings = ["hrubec", "concordia"])
        fun `have daemon files with consistent roles and link addresses`(user: String) {
            val all = filesOf("$user/daemons").map {
                DaemonSettingsReader.read(it).getOrElse { errors -> error(errors) }
            }
            expectThat(all.flatMap { it.roles }.groupingBy { it }.eachCount())
                .isEqualTo(mapOf(Role.CONTROL to 1, Role.ENTRY to 2, Role.SIDECAR to 4))
            expectThat(all.map { it.peers }.distinct().size).isEqualTo(1)
            val known = all.first { Role.CONTROL in it.roles }.let { it.peers + it.entries + it.sidecars }
            expectThat(all.filter { known[it.name] != it.instance.linkEndpoint }.map { it.name }).isEqualTo(emptyList())
            expectThat(known.size).isEqualTo(3 + 2 + 9)
        }

        @Test
        fun `set the staleness bound and preference of each user`() {
            val hrubec = checkNotNull(tree("hrubec").effectiveSettings(BranchName("root/hrubec/cz-central")))
            expectThat(hrubec.trainers.values.map { it.contract.stalenessBound }).containsExactly(2, 3)
            expectThat(hrubec.samples.stalenessPreference).isLessThan(0.5)
            val concordia = checkNotNull(tree("concordia").effectiveSettings(BranchName("root/concordia/mx-centro")))
            expectThat(concordia.samples.stalenessPreference).isGreaterThan(0.5)
            expectThat(concordia.callers.values.single().contract.nonIdempotentServices.map { it.value })
                .containsExactly("case-file")
        }
    }

    @Test
    fun `The committed settings reference matches the schema`() {
        val expected = SettingsReference.render()
        // To update the committed page, copy this file over it.
        Files.writeString(Path.of("target", "settings-reference.md"), expected)
        expectThat(Files.readString(ROOT_FOLDER.resolve("docs/settings-reference.md"))).isEqualTo(expected)
    }
}
