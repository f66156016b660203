package org.zinniahoist.settings

import kotlinx.serialization.Serializable
import org.zinniahoist.model.BranchName
import org.zinniahoist.model.Revision

/** Name of an office: operators that decide together. */
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

/** Identifier of an edit; an edit that is sent again keeps it. */
@JvmInline
@Serializable
public value class EditIdentifier(public val value: String) {
    override fun toString(): String = value
}

/** Canonical text of a value and the revision that set it. */
@Serializable
public data class SetValue(
    public val text: String,
    public val revision: Revision,
)

/** A branch of the settings tree with what it sets itself. */
@Serializable
public data class Branch(
    public val name: BranchName,
    /** The office whose part starts here, or null if the branch belongs to the office of its parent. */
    public val office: OfficeName?,
    /** Revision of the last edit of this branch. */
    public val revision: Revision,
    /** The last edit of this branch. */
    public val edit: EditIdentifier,
    /** Who made the last edit. */
    public val operator: OperatorName,
    public val values: Map<String, SetValue>,
)

/** A value in force in a branch, with where it comes from. */
@Serializable
public data class EffectiveValue(
    /** Canonical text. */
    public val value: String,
    /** The branch that sets the value, or null for a default of the schema. */
    public val branch: BranchName?,
    /** The revision that set the value, or [Revision.NONE] for a default of the schema. */
    public val revision: Revision,
)

/** The branch that this branch inherits from, or null for the root. */
public val BranchName.parent: BranchName?
    get() = value.substringBeforeLast('/', missingDelimiterValue = "").takeIf {
        it.isNotEmpty()
    }?.let { BranchName(it) }

/** Whether this branch inherits from [other], directly or not. */
public fun BranchName.isBelow(other: BranchName): Boolean = value.startsWith("${other.value}/")

/** Number of branches above this branch. */
internal val BranchName.depth: Int get() = value.count { it == '/' }

/** The branch that all others inherit from. */
internal val ROOT: BranchName = BranchName("root")

/** Allowed names of branches, for error messages. */
internal const val BRANCH_FORM: String =
    "root or root/<name>/<name>..., each name of lower-case letters, digits, '-' and '_'"

/** Whether this is `root` or a path of names below it. */
internal fun BranchName.isValid(): Boolean =
    value.split('/').let { parts -> parts.first() == ROOT.value && parts.all { KeyType.Name.parse(it) != null } }
