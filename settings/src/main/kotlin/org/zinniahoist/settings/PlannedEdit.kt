package org.zinniahoist.settings

import kotlinx.serialization.Serializable

/** An edit of a plan, with the inherited values of descendant branches that it changes. */
@Serializable
public data class PlannedEdit(
    public val edit: BranchEdit,
    public val effects: List<InheritedEffect> = emptyList(),
)
