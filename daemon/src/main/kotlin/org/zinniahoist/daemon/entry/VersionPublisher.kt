package org.zinniahoist.daemon.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.zinniahoist.daemon.control.ControlClient
import org.zinniahoist.daemon.control.ControlFailure
import org.zinniahoist.daemon.control.ControlResult
import org.zinniahoist.daemon.control.GroupName
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.state.StateCodec
import org.zinniahoist.state.coordination.CoordinationCommand

/** Publishes the weight versions that trainers announce, so that the control replicas roll them out. */
internal class VersionPublisher(private val control: ControlClient) {
    /** Publishes [version] of [model]. The operation is idempotent. */
    suspend fun publish(model: ModelName, version: WeightVersion): Either<ControlFailure, Unit> {
        val command = CoordinationCommand.PublishVersion(model, version)
        return when (
            val result = control.command(
                GroupName.SETTINGS,
                StateCodec.encode<CoordinationCommand>(command),
            )
        ) {
            is ControlResult.Answered -> Unit.right()
            is ControlResult.NotApplied -> ControlFailure(result.reason, mayHaveEffect = false).left()
            is ControlResult.OutcomeUnknown -> ControlFailure(result.reason, mayHaveEffect = true).left()
        }
    }
}
