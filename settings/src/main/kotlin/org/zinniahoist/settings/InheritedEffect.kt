package org.zinniahoist.settings

import kotlinx.serialization.Serializable
import org.zinniahoist.model.BranchName

/** Explicitly set values, own and inherited, by branch and key; schema defaults are not included. */
internal typealias ResolvedValues = Map<BranchName, Map<String, EffectiveValue>>

/** Change of a value that [branch] inherits from an edited ancestor; null means that the key has no value. */
@Serializable
public data class InheritedEffect(
    public val branch: BranchName,
    public val key: String,
    public val before: String?,
    public val after: String?,
)

/** Returns the values of [branch] that differ between [before] and [after], sorted by key. */
internal fun inheritedEffects(
    branch: BranchName,
    before: ResolvedValues,
    after: ResolvedValues,
): List<InheritedEffect> {
    val old = before.getValue(branch)
    val new = after.getValue(branch)
    return (old.keys + new.keys)
        .sorted()
        .map { key -> InheritedEffect(branch, key, old.valueOf(key), new.valueOf(key)) }
        .filter { it.before != it.after }
}

/**
 * Returns the effective text of [key], or null if it has no value.
 *
 * Wildcard keys have no default here, because the first key that is set for a name declares the trainer, caller or
 * model.
 */
private fun Map<String, EffectiveValue>.valueOf(key: String): String? =
    this[key]?.value ?: TreeSchema.keys[key]?.defaultText
