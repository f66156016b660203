package org.zinniahoist.settings

/** Reads typed values from the effective values of a branch. */
internal class EffectiveReader(private val values: Map<String, EffectiveValue>) {
    /** Returns the value of [key], or its default; the key must have one of them. [name] replaces the wildcard `*`. */
    fun <T : Any> value(key: SettingKey<T>, name: String = ""): T = checkNotNull(find(key, name) ?: key.default)

    /** Returns the value of [key], or null if it is absent. [name] replaces the wildcard `*`. */
    fun <T : Any> find(key: SettingKey<T>, name: String = ""): T? =
        values[key.name.replace("*", name)]?.let { key.type.parse(it.value) }

    /** Returns the sorted names of [family] (`trainer`, `caller` or `model`) for which at least one key is set. */
    fun names(family: String): List<String> = values.keys
        .filter { it.startsWith("$family.") && it.count { char -> char == '.' } > 1 }
        .map { it.split('.')[1] }
        .distinct()
        .sorted()
}
