package org.zinniahoist.operator

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import kotlinx.cli.ArgType
import kotlinx.cli.default
import org.zinniahoist.state.coordination.CoordinationAnswer

/** Names that can be part of a path without escapes. */
private val NAME = Regex("[a-z0-9_-]+")

private fun checkName(name: String): Either<CommandFailure, Unit> = either {
    ensure(NAME.matches(name)) {
        CommandFailure.usage("'$name' is no name; allowed: lower-case letters, digits, '-' and '_'")
    }
}

internal class DrainCommand : ControlCommand("drain", "Start or end the drain of an instance") {
    private val instance by argument(ArgType.String, "instance", "Name of the instance")
    private val end by option(ArgType.Boolean, "end", description = "Let the instance take work again").default(false)

    override fun perform(console: Console): Either<CommandFailure, Unit> = either {
        checkName(instance).bind()
        val answer = api().bind().drain(instance, draining = !end).bind()
        console.show(output, CoordinationAnswer.Done.serializer(), answer) {
            val state = if (end) "not draining" else "draining"
            if (answer.changed) "$instance is now $state" else "$instance was $state before"
        }
    }
}

internal class PublishCommand : VersionCommand("publish", "Make a weight version available for roll-out") {
    override fun call(api: ControlApi) = api.publish(model, version.toLong())
}

internal class WithdrawCommand : VersionCommand("withdraw", "Stop the roll-out of a weight version") {
    override fun call(api: ControlApi) = api.withdraw(model, version.toLong())
}

/** A command on a weight version. */
internal abstract class VersionCommand(
    name: String,
    description: String,
) : ControlCommand(name, description) {
    protected val model: String by argument(ArgType.String, "model", "Name of the model")
    protected val version: Int by argument(ArgType.Int, "version", "Number of the weight version")

    protected abstract fun call(api: ControlApi): Either<CommandFailure, CoordinationAnswer.Published>

    override fun perform(console: Console): Either<CommandFailure, Unit> = either {
        checkName(model).bind()
        val answer = call(api().bind()).bind()
        console.show(output, CoordinationAnswer.Published.serializer(), answer) {
            "version to roll out of ${answer.model}: ${answer.target ?: "none"}"
        }
    }
}
