package org.zinniahoist.settings

/**
 * Declaration of one key.
 *
 * In the settings tree, a `*` in [name] is a wildcard for the name of a trainer, caller or model. A key without
 * [default] has no value unless it is set; a [required] key must be set.
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

/** Declaration of a section of the daemon's file or of a group of keys of the settings tree. */
public data class SectionSchema(
    public val name: String,
    public val documentation: String,
    public val keys: List<SettingKey<*>> = emptyList(),
    /** Type of the values if the operator chooses the section's keys; null if the section has fixed [keys]. */
    public val namedValues: KeyType<*>? = null,
)
