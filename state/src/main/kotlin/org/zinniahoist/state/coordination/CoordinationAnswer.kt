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
    /** Answer to [CoordinationCommand.Edit]. */
    @Serializable
    public data class Edited(public val result: EditResult) : CoordinationAnswer

    /** Answer to a published or withdrawn version: the version to roll out, or null if there is none. */
    @Serializable
    public data class Published(
        public val model: ModelName,
        public val target: WeightVersion?,
    ) : CoordinationAnswer

    /** Answer to [CoordinationCommand.IssueOrder]. */
    @Serializable
    public data class Ordered(public val token: FencingToken) : CoordinationAnswer

    /** Answer to a command that either had its effect or found nothing to change. */
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

    /** Answer to [CoordinationQuery.ReadHistory], oldest first. */
    @Serializable
    public data class History(public val edits: List<AcceptedEdit>) : CoordinationAnswer

    /** The command or query could not be decoded. */
    @Serializable
    public data class Malformed(public val cause: String) : CoordinationAnswer
}

/** Outcome of an edit; a repeated edit gets the outcome of its first submission. */
@Serializable
public sealed interface EditResult {
    /** The edit is part of the tree since [revision]. */
    @Serializable
    public data class Accepted(public val revision: Revision) : EditResult

    /** The edit changed nothing. */
    @Serializable
    public data class Refused(public val error: EditError) : EditResult

    /** The identifier was used before for an edit with other content. */
    @Serializable
    public data object IdentifierReused : EditResult
}

/** An edit that is part of the tree since [revision]. */
@Serializable
public data class AcceptedEdit(
    public val revision: Revision,
    public val timeMilliseconds: Long,
    public val edit: BranchEdit,
)
