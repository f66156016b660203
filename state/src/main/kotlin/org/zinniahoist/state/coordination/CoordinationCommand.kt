package org.zinniahoist.state.coordination

import kotlinx.serialization.Serializable
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.settings.BranchEdit

/** A change to the state of the `settings` group. */
@Serializable
public sealed interface CoordinationCommand {
    /** Edits one branch of the settings tree. Answered by [CoordinationAnswer.Edited]. */
    @Serializable
    public data class Edit(public val edit: BranchEdit) : CoordinationCommand

    /** Makes [version] of [model] the one to roll out. Answered by [CoordinationAnswer.Published]. */
    @Serializable
    public data class PublishVersion(
        public val model: ModelName,
        public val version: WeightVersion,
    ) : CoordinationCommand

    /** Stops the roll-out of [version]. Answered by [CoordinationAnswer.Published]. */
    @Serializable
    public data class WithdrawVersion(
        public val model: ModelName,
        public val version: WeightVersion,
    ) : CoordinationCommand

    /** Orders [upstream] to do [order]. Answered by [CoordinationAnswer.Ordered]. */
    @Serializable
    public data class IssueOrder(
        public val upstream: InstanceName,
        public val order: Order,
    ) : CoordinationCommand

    /** Starts or ends the drain of [instance]. Answered by [CoordinationAnswer.Done]. */
    @Serializable
    public data class SetDraining(
        public val instance: InstanceName,
        public val draining: Boolean,
    ) : CoordinationCommand
}
