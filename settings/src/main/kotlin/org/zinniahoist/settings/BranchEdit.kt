package org.zinniahoist.settings

import kotlinx.serialization.Serializable
import org.zinniahoist.model.BranchName
import org.zinniahoist.model.Revision

/** A change of one branch, made if the branch still has [expectedRevision]. */
@Serializable
public data class BranchEdit(
    public val identifier: EditIdentifier,
    /** The office of [operator]. */
    public val office: OfficeName,
    public val operator: OperatorName,
    public val branch: BranchName,
    /** Revision of the branch that the operator saw; [Revision.NONE] to create the branch. */
    public val expectedRevision: Revision,
    public val change: BranchChange,
)

/** What an edit does to its branch. */
@Serializable
public sealed interface BranchChange {
    /** Sets the values of [set] and lets the keys of [unset] be inherited again. */
    @Serializable
    public data class Update(
        public val set: Map<String, String> = emptyMap(),
        public val unset: Set<String> = emptySet(),
    ) : BranchChange

    /**
     * Creates the branch with the values of [set].
     *
     * [office] starts the part of another office; only the office of the parent can do so. The root needs an office.
     */
    @Serializable
    public data class Create(
        public val office: OfficeName? = null,
        public val set: Map<String, String> = emptyMap(),
    ) : BranchChange

    /** Removes the branch; other branches must not inherit from it. */
    @Serializable
    public data object Remove : BranchChange
}
