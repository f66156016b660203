package org.zinniahoist.settings

/**
 * Declaration of one key.
 *
 * In the settings tree, a `*` in [name] stands for the name of a trainer, caller or model. A key without [default] is
 * absent unless it is set; a [required] key has to be set.
 */
public data class SettingKey<T : Any>(
    public val name: String,
    public val type: KeyType<T>,
    public val documentation: String,
    public val default: T? = null,
    public val required: Boolean = false,
) {
    /** Canonical text of [default], or null if there is none. */
    public val defaultText: String? get() = default?.let { type.render(it) }
}

/** Declaration of a section of the daemon's file. */
public data class SectionSchema(
    public val name: String,
    public val documentation: String,
    public val keys: List<SettingKey<*>> = emptyList(),
    /** Type of the values when the section's keys are names that the operator chooses; null for fixed [keys]. */
    public val namedValues: KeyType<*>? = null,
)
