package org.zinniahoist.settings

import kotlinx.serialization.Serializable
import org.zinniahoist.model.BranchName

/** Set values in force by branch and key. */
internal typealias Resolved = Map<BranchName, Map<String, EffectiveValue>>

/** A value of [branch] that changes because a branch above it does; null stands for no value. */
@Serializable
public data class InheritedEffect(
    public val branch: BranchName,
    public val key: String,
    public val before: String?,
    public val after: String?,
)

/** Returns the values of [branch] that differ, in the order of keys. */
internal fun effectsOn(branch: BranchName, before: Resolved, after: Resolved): List<InheritedEffect> {
    val old = before.getValue(branch)
    val new = after.getValue(branch)
    return (old.keys + new.keys)
        .sorted()
        .map { key -> InheritedEffect(branch, key, old.valueOf(key), new.valueOf(key)) }
        .filter { it.before != it.after }
}

/**
 * Returns the text in force for [key].
 *
 * Keys of families have no default here: setting the first key of a name declares the trainer, caller or model.
 */
private fun Map<String, EffectiveValue>.valueOf(key: String): String? =
    this[key]?.value ?: TreeSchema.keys[key]?.defaultText
