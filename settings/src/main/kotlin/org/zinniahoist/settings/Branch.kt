package org.zinniahoist.settings

import kotlinx.serialization.Serializable
import org.zinniahoist.model.BranchName
import org.zinniahoist.model.Revision

/** Name of an office, a group of operators that owns a subtree of the settings tree. */
@JvmInline
@Serializable
public value class OfficeName(public val value: String) {
    override fun toString(): String = value
}

/** Name of an operator. */
@JvmInline
@Serializable
public value class OperatorName(public val value: String) {
    override fun toString(): String = value
}

/** Identifier of an edit; a retried edit keeps its identifier. */
@JvmInline
@Serializable
public value class EditIdentifier(public val value: String) {
    override fun toString(): String = value
}

/** Explicitly set value: its canonical text and the revision that set it. */
@Serializable
public data class SetValue(
    public val text: String,
    public val revision: Revision,
)

/** Branch of the settings tree with the values that it sets itself. */
@Serializable
public data class Branch(
    public val name: BranchName,
    /** Office that owns the subtree starting at this branch, or null if the branch inherits its owner. */
    public val office: OfficeName?,
    /** Revision of the last edit of this branch. */
    public val revision: Revision,
    /** Identifier of the last edit of this branch. */
    public val edit: EditIdentifier,
    /** Operator who made the last edit. */
    public val operator: OperatorName,
    public val values: Map<String, SetValue>,
)

/** Effective value of a key in a branch, with its origin. */
@Serializable
public data class EffectiveValue(
    /** Canonical text. */
    public val value: String,
    /** Branch that sets the value, or null for a schema default. */
    public val branch: BranchName?,
    /** Revision that set the value, or [Revision.NONE] for a schema default. */
    public val revision: Revision,
)

/** Parent branch, from which this branch inherits, or null for the root. */
public val BranchName.parent: BranchName?
    get() = value.substringBeforeLast('/', missingDelimiterValue = "").takeIf {
        it.isNotEmpty()
    }?.let { BranchName(it) }

/** Whether this branch is a descendant of [other]. */
public fun BranchName.isBelow(other: BranchName): Boolean = value.startsWith("${other.value}/")

/** Number of ancestors of this branch. */
internal val BranchName.depth: Int get() = value.count { it == '/' }

/** Root branch, the ancestor of all other branches. */
internal val ROOT: BranchName = BranchName("root")

/** Description of valid branch names, for error messages. */
internal const val BRANCH_NAME_FORMAT: String =
    "root or root/<name>/<name>..., each name of lower-case letters, digits, '-' and '_'"

/** Whether this is `root` or a path of valid names below it. */
internal fun BranchName.isValid(): Boolean =
    value.split('/').let { parts -> parts.first() == ROOT.value && parts.all { KeyType.Name.parse(it) != null } }
