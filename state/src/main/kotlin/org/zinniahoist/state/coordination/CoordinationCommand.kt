package org.zinniahoist.state.coordination

import kotlinx.serialization.Serializable
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.settings.BranchEdit

/** A command that changes the state of the `settings` consensus group. */
@Serializable
public sealed interface CoordinationCommand {
    /** Edits one branch of the settings tree. Answered by [CoordinationAnswer.Edited]. */
    @Serializable
    public data class Edit(public val edit: BranchEdit) : CoordinationCommand

    /**
     * Publishes [version] of [model] for roll-out; the highest published version that is not withdrawn is the target.
     * Answered by [CoordinationAnswer.Published].
     */
    @Serializable
    public data class PublishVersion(
        public val model: ModelName,
        public val version: WeightVersion,
    ) : CoordinationCommand

    /** Withdraws [version] of [model] from roll-out. Answered by [CoordinationAnswer.Published]. */
    @Serializable
    public data class WithdrawVersion(
        public val model: ModelName,
        public val version: WeightVersion,
    ) : CoordinationCommand

    /** Issues [order] to [upstream]. Answered by [CoordinationAnswer.Ordered]. */
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
