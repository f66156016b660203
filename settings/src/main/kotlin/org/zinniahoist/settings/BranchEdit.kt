package org.zinniahoist.settings

import kotlinx.serialization.Serializable
import org.zinniahoist.model.BranchName
import org.zinniahoist.model.Revision

/** Conditional edit of one branch, applied only if the branch still has [expectedRevision]. */
@Serializable
public data class BranchEdit(
    public val identifier: EditIdentifier,
    /** Office of [operator]. */
    public val office: OfficeName,
    public val operator: OperatorName,
    public val branch: BranchName,
    /** Revision of the branch on which the edit is based; [Revision.NONE] to create the branch. */
    public val expectedRevision: Revision,
    public val change: BranchChange,
)

/** Operation of an edit on its branch. */
@Serializable
public sealed interface BranchChange {
    /** Sets the values of [set] and removes the own values of the keys of [unset], which are then inherited again. */
    @Serializable
    public data class Update(
        public val set: Map<String, String> = emptyMap(),
        public val unset: Set<String> = emptySet(),
    ) : BranchChange

    /**
     * Creates the branch with the values of [set].
     *
     * A non-null [office] delegates the subtree to that office; only the office that owns the parent may delegate it.
     * The root requires an office.
     */
    @Serializable
    public data class Create(
        public val office: OfficeName? = null,
        public val set: Map<String, String> = emptyMap(),
    ) : BranchChange

    /** Removes the branch, which must not have descendants. */
    @Serializable
    public data object Remove : BranchChange
}
