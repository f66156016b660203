package org.zinniahoist.state.coordination

import kotlinx.serialization.Serializable
import org.zinniahoist.model.FencingToken
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Revision
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.settings.BranchEdit
import org.zinniahoist.settings.EditError
import org.zinniahoist.settings.SettingsTree

/** Answer to a [CoordinationCommand] or a [CoordinationQuery]. */
@Serializable
public sealed interface CoordinationAnswer {
    /** Answer to [CoordinationCommand.Edit] with its outcome. */
    @Serializable
    public data class Edited(public val result: EditResult) : CoordinationAnswer

    /** Answer to a published or withdrawn version; [target] is the version to roll out, or null if there is none. */
    @Serializable
    public data class Published(
        public val model: ModelName,
        public val target: WeightVersion?,
    ) : CoordinationAnswer

    /** Answer to [CoordinationCommand.IssueOrder] with the fencing token of the order. */
    @Serializable
    public data class Ordered(public val token: FencingToken) : CoordinationAnswer

    /** Answer to a command without a result; [changed] is false if it had no effect. */
    @Serializable
    public data class Done(public val changed: Boolean) : CoordinationAnswer

    /** Answer to [CoordinationQuery.ReadTree]. */
    @Serializable
    public data class Tree(public val tree: SettingsTree) : CoordinationAnswer

    /** Answer to [CoordinationQuery.ReadOrders]. */
    @Serializable
    public data class Orders(public val orders: List<FencedOrder>) : CoordinationAnswer

    /** Answer to [CoordinationQuery.ReadOverview]. */
    @Serializable
    public data class Overview(
        public val revision: Revision,
        public val targets: Map<ModelName, WeightVersion>,
        public val draining: Set<InstanceName>,
    ) : CoordinationAnswer

    /** Answer to [CoordinationQuery.ReadHistory], oldest edit first. */
    @Serializable
    public data class History(public val edits: List<AcceptedEdit>) : CoordinationAnswer

    /** The command or query could not be decoded. */
    @Serializable
    public data class Malformed(public val cause: String) : CoordinationAnswer
}

/** Outcome of an edit; a repeated submission gets the outcome of the first one. */
@Serializable
public sealed interface EditResult {
    /** The edit was applied and created [revision]. */
    @Serializable
    public data class Accepted(public val revision: Revision) : EditResult

    /** The edit was rejected with [error] and the tree is unchanged. */
    @Serializable
    public data class Refused(public val error: EditError) : EditResult

    /** The identifier was already used for an edit with different content. */
    @Serializable
    public data object IdentifierReused : EditResult
}

/** An edit that was applied and created [revision] of the tree. */
@Serializable
public data class AcceptedEdit(
    public val revision: Revision,
    public val timeMilliseconds: Long,
    public val edit: BranchEdit,
)
