package org.zinniahoist.settings

import kotlinx.serialization.Serializable
import org.zinniahoist.model.BranchName
import org.zinniahoist.model.Revision

/** Reason why an edit is rejected. [message] is the text shown to the operator. */
@Serializable
public sealed interface EditError {
    public val branch: BranchName
    public val message: String

    /** The branch does not exist. */
    @Serializable
    public data class UnknownBranch(
        override val branch: BranchName,
        public val suggestion: String? = null,
    ) : EditError {
        override val message: String
            get() = "branch $branch does not exist${suggestion?.let { "; did you mean '$it'?" }.orEmpty()}"
    }

    /** The name of the branch is malformed. */
    @Serializable
    public data class InvalidBranchName(override val branch: BranchName) : EditError {
        override val message: String get() = "branch '$branch' has an invalid name; allowed: $BRANCH_NAME_FORMAT"
    }

    /** The branch belongs to an office other than the operator's. */
    @Serializable
    public data class ForeignOffice(
        override val branch: BranchName,
        public val owner: OfficeName,
        public val office: OfficeName,
    ) : EditError {
        override val message: String get() = "branch $branch belongs to office $owner; office $office can't change it"
    }

    /** The edit changes a value that a branch of another office inherits. */
    @Serializable
    public data class ForeignEffect(
        override val branch: BranchName,
        public val affected: BranchName,
        public val owner: OfficeName,
        public val key: String,
        public val before: String?,
        public val after: String?,
    ) : EditError {
        override val message: String
            get() =
                "editing $branch changes '$key' of $affected from ${before ?: "unset"} to ${after ?: "unset"}, " +
                    "which belongs to office $owner; allowed: after office $owner sets '$key' itself"
    }

    /** The key is not in the schema. */
    @Serializable
    public data class UnknownKey(
        override val branch: BranchName,
        public val key: String,
        public val suggestion: String? = null,
    ) : EditError {
        override val message: String
            get() = "branch $branch: unknown key '$key'${suggestion?.let { "; did you mean '$it'?" }.orEmpty()}"
    }

    /** The value is malformed or out of range. */
    @Serializable
    public data class OutOfRange(
        override val branch: BranchName,
        public val key: String,
        public val found: String,
        public val allowed: String,
    ) : EditError {
        override val message: String get() = "branch $branch: '$key' has value '$found'; allowed: $allowed"
    }

    /** The effective value is inconsistent with another key of the branch. */
    @Serializable
    public data class Inconsistent(
        override val branch: BranchName,
        public val key: String,
        public val found: String,
        public val allowed: String,
    ) : EditError {
        override val message: String get() = "branch $branch: '$key' in force is '$found'; allowed: $allowed"
    }

    /** A required key has no value in the branch. */
    @Serializable
    public data class MissingKey(
        override val branch: BranchName,
        public val key: String,
        public val allowed: String,
    ) : EditError {
        override val message: String get() = "branch $branch: '$key' is missing; allowed: $allowed"
    }

    /** The edit sets and unsets the same key. */
    @Serializable
    public data class DuplicateKey(
        override val branch: BranchName,
        public val key: String,
    ) : EditError {
        override val message: String get() = "branch $branch: '$key' is both set and unset; allowed: one of them"
    }

    /** The branch to be removed has descendants. */
    @Serializable
    public data class HasChildren(
        override val branch: BranchName,
        public val child: BranchName,
    ) : EditError {
        override val message: String get() = "branch $branch can't be removed; $child inherits from it"
    }

    /** The proposed revision is not greater than the revision of the tree. */
    @Serializable
    public data class RevisionNotNew(
        override val branch: BranchName,
        public val current: Revision,
        public val proposed: Revision,
    ) : EditError {
        override val message: String get() = "revision $proposed of the edit is not above revision $current of the tree"
    }

    /** Several errors of one edit. */
    @Serializable
    public data class Several(
        override val branch: BranchName,
        public val errors: List<EditError>,
    ) : EditError {
        override val message: String get() = errors.joinToString("\n") { it.message }
    }
}

/** Rejection because a concurrent edit was applied first. */
@Serializable
public sealed interface EditConflict : EditError {
    /** Identifier of the edit that was applied first. */
    public val winner: EditIdentifier

    /** Operator who made the edit that was applied first. */
    public val winningOperator: OperatorName

    /** The revision of the branch is not the expected one. */
    @Serializable
    public data class RevisionConflict(
        override val branch: BranchName,
        public val expected: Revision,
        public val found: Revision,
        override val winner: EditIdentifier,
        override val winningOperator: OperatorName,
    ) : EditConflict {
        override val message: String
            get() =
                "branch $branch has revision $found, not $expected; " +
                    "edit $winner of operator $winningOperator came first"
    }

    /** The branch to be created already exists. */
    @Serializable
    public data class DuplicateBranch(
        override val branch: BranchName,
        public val found: Revision,
        override val winner: EditIdentifier,
        override val winningOperator: OperatorName,
    ) : EditConflict {
        override val message: String
            get() =
                "branch $branch exists with revision $found; its last edit is $winner of operator $winningOperator"
    }
}
