package org.zinniahoist.operator

import arrow.core.Either
import arrow.core.raise.either
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.optional
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.builtins.serializer
import org.zinniahoist.model.BranchName
import org.zinniahoist.settings.DeclaredTree
import org.zinniahoist.settings.EffectiveValue
import org.zinniahoist.settings.SettingsTree
import org.zinniahoist.state.coordination.AcceptedEdit
import org.zinniahoist.state.report.StatusReport
import java.time.Instant

internal class ShowCommand : ControlCommand("show", "Show the settings in force in a branch and where they come from") {
    private val branch by argument(ArgType.String, "branch", "Branch, such as root/hrubec")

    override fun perform(console: Console): Either<CommandFailure, Unit> = either {
        val tree = api().bind().tree().bind()
        val values = tree.effective(BranchName(branch))
            ?: raise(
                CommandFailure.refused(
                    "branch $branch does not exist; branches: ${tree.branches.keys.map {
                        it.value
                    }.sorted().joinToString()}",
                ),
            )
        console.show(output, MapSerializer(String.serializer(), EffectiveValue.serializer()), values) {
            values.entries.joinToString("\n") { (key, value) ->
                val origin = value.branch?.let { "$it at revision ${value.revision}" } ?: "default"
                "$key = ${value.value}  ($origin)"
            }
        }
    }
}

internal class HistoryCommand : ControlCommand("history", "Show accepted edits, oldest first") {
    private val after by option(ArgType.Int, "after", description = "Only edits after this revision").default(0)
    private val limit by option(ArgType.Int, "limit", description = "Largest number of edits").default(DEFAULT_LIMIT)

    override fun perform(console: Console): Either<CommandFailure, Unit> = either {
        val edits = api().bind().history(after.toLong(), limit).bind()
        console.show(output, ListSerializer(AcceptedEdit.serializer()), edits) {
            edits.joinToString("") {
                "revision ${it.revision} at ${Instant.ofEpochMilli(it.timeMilliseconds)}: ${editText(it.edit)}"
            }
        }
    }

    private companion object {
        const val DEFAULT_LIMIT = 100
    }
}

/** A key that two trees set differently; null stands for no value. */
@Serializable
internal data class KeyDifference(
    val branch: BranchName,
    val key: String,
    val before: String?,
    val after: String?,
)

internal class DiffCommand : ControlCommand("diff", "Show what changed between two revisions") {
    private val from by argument(ArgType.Int, "from", "Revision before the changes")
    private val to by argument(ArgType.Int, "to", "Revision after the changes; the latest if absent").optional()

    override fun perform(console: Console): Either<CommandFailure, Unit> = either {
        val api = api().bind()
        val current = api.tree().bind()
        val before = treeAt(api, current, from.toLong()).bind()
        val after = treeAt(api, current, to?.toLong() ?: current.revision.value).bind()
        val differences = differences(before, after)
        console.show(output, ListSerializer(KeyDifference.serializer()), differences) {
            differences.joinToString("\n") {
                "${it.branch} ${it.key}: ${it.before ?: "unset"} -> ${it.after ?: "unset"}"
            }
        }
    }

    private fun differences(before: SettingsTree, after: SettingsTree): List<KeyDifference> {
        val old = own(before)
        val new = own(after)
        return (old.keys + new.keys).sortedWith(compareBy({ it.first.value }, { it.second }))
            .map { KeyDifference(it.first, it.second, old[it], new[it]) }
            .filter { it.before != it.after }
    }

    private fun own(tree: SettingsTree): Map<Pair<BranchName, String>, String> =
        DeclaredTree.of(tree).branches.flatMap { (name, branch) ->
            val office = branch.office?.let { listOf("office" to it.value) }.orEmpty()
            (branch.values.toList() + office).map { (key, value) -> (name to key) to value }
        }.toMap()
}

internal class StatusCommand : ControlCommand("status", "Show consensus groups, processes and what is wrong") {
    override fun perform(console: Console): Either<CommandFailure, Unit> = either {
        val status = api().bind().status().bind()
        console.show(output, StatusReport.serializer(), status) { statusText(status) }
    }
}
