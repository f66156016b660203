package org.zinniahoist.operator

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.raise.either
import arrow.core.raise.ensure
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.vararg
import org.zinniahoist.model.Revision
import org.zinniahoist.settings.EditError
import org.zinniahoist.settings.PlannedEdit
import org.zinniahoist.settings.SettingsTree
import org.zinniahoist.settings.plan
import org.zinniahoist.settings.planRevert
import org.zinniahoist.state.coordination.AcceptedEdit

internal class PlanCommand : EditCommand("plan", "Show the edits that turn the tree into that of the files") {
    private val files by argument(ArgType.String, "file", "INI files that together declare the tree").vararg()

    override fun perform(console: Console): Either<CommandFailure, Unit> = either {
        val declared = readTree(files).bind()
        val tree = api().bind().tree().bind()
        val edits = plan(tree, declared, operatorName, PLAN_PREFIX).orRefusal().bind()
        console.show(output, PlanReport.serializer(), PlanReport(tree.revision, edits)) {
            planText(tree.revision, edits)
        }
    }
}

internal class ApplyCommand : SubmitCommand("apply", "Turn the tree into that of the files") {
    private val files by argument(ArgType.String, "file", "INI files that together declare the tree").vararg()

    override fun perform(console: Console): Either<CommandFailure, Unit> = either {
        val declared = readTree(files).bind()
        val api = api().bind()
        val tree = api.tree().bind()
        submit(console, api, tree, plan(tree, declared, operatorName, PLAN_PREFIX)).bind()
    }
}

internal class RevertCommand : SubmitCommand("revert", "Turn the tree back into that of a revision, as new revisions") {
    private val target by argument(ArgType.Int, "revision", "Revision to return to")

    override fun perform(console: Console): Either<CommandFailure, Unit> = either {
        val api = api().bind()
        val tree = api.tree().bind()
        val earlier = treeAt(api, tree, target.toLong()).bind()
        submit(console, api, tree, planRevert(tree, earlier, operatorName, PLAN_PREFIX)).bind()
    }
}

/** A command that submits a plan and waits until it is in force. */
internal abstract class SubmitCommand(
    name: String,
    description: String,
) : EditCommand(name, description) {
    private val planned by option(
        ArgType.Int,
        "planned-revision",
        description = "Revision shown by plan; refuse if the tree has another one",
    )
    private val wait by option(
        ArgType.Int,
        "wait",
        description = "Seconds to wait until the settings are in force everywhere; 0 does not wait",
    ).default(DEFAULT_WAIT_SECONDS)

    protected fun submit(
        console: Console,
        api: ControlApi,
        tree: SettingsTree,
        plan: Either<NonEmptyList<EditError>, List<PlannedEdit>>,
    ): Either<CommandFailure, Unit> = either {
        ensure(planned == null || planned?.toLong() == tree.revision.value) {
            CommandFailure.refused("the tree has revision ${tree.revision}, not $planned; run plan again")
        }
        val edits = plan.orRefusal().bind()
        ensure(offices.isNotEmpty() || edits.isEmpty()) {
            CommandFailure.usage("--office is missing; the plan needs ${edits.offices().joinToString()}")
        }
        val foreign = edits.filter { it.edit.office !in offices }
        ensure(foreign.isEmpty()) {
            CommandFailure.refused(
                "the plan changes branches of another office:\n" +
                    foreign.joinToString("\n") { "${it.edit.branch} of ${it.edit.office}" },
            )
        }
        val revision = EditSubmission(api, tree, console).submit(edits.map { it.edit }).bind()
        if (wait > 0) ForceWait(api, console).await(revision, wait).bind()
        console.show(output, AppliedReport.serializer(), AppliedReport(revision, edits.size, wait > 0)) {
            val where = if (wait > 0) ", in force everywhere" else ""
            if (edits.isEmpty()) "nothing to change at revision $revision$where" else "revision $revision$where"
        }
    }

    private companion object {
        /** An accepted configuration is in force within 10 s. */
        const val DEFAULT_WAIT_SECONDS = 10
    }
}

/** Edits get their final identifiers when they are submitted. */
private const val PLAN_PREFIX = "plan"

private fun List<PlannedEdit>.offices() = map { it.edit.office }.distinct()

internal fun <T> Either<NonEmptyList<EditError>, T>.orRefusal(): Either<CommandFailure, T> =
    mapLeft { errors -> CommandFailure.refused(errors.joinToString("\n") { it.message }) }

/** Rebuilds the tree of [revision] from the history, which has to reach back to the first edit. */
internal fun treeAt(api: ControlApi, current: SettingsTree, revision: Long): Either<CommandFailure, SettingsTree> =
    either {
        ensure(revision in 0..current.revision.value) {
            CommandFailure.refused("revision $revision does not exist; the tree has revision ${current.revision}")
        }
        if (revision == current.revision.value) current else replay(api.wholeHistory().bind(), revision).bind()
    }

private fun replay(edits: List<AcceptedEdit>, revision: Long): Either<CommandFailure, SettingsTree> = either {
    val first = edits.firstOrNull()?.revision
    ensure(first == Revision(1)) {
        CommandFailure.refused(
            "control no longer has the edits before revision $first; apply the files of that time from version control",
        )
    }
    edits.filter { it.revision.value <= revision }.fold(SettingsTree.EMPTY) { tree, accepted ->
        tree.apply(accepted.edit, accepted.revision)
            .mapLeft { CommandFailure.refused("the history is damaged: ${it.message}") }
            .bind()
    }
}
