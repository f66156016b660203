package org.zinniahoist.settings

/** Reads typed values from the texts in force in a branch. */
internal class EffectiveReader(private val values: Map<String, EffectiveValue>) {
    /** Returns the value of [key], which has a default; [name] takes the place of `*`. */
    fun <T : Any> value(key: SettingKey<T>, name: String = ""): T = checkNotNull(find(key, name) ?: key.default)

    /** Returns the value of [key] or null if it is absent. */
    fun <T : Any> find(key: SettingKey<T>, name: String = ""): T? =
        values[key.name.replace("*", name)]?.let { key.type.parse(it.value) }

    /** Returns the names for which a key of [family] is set, in order. */
    fun names(family: String): List<String> = values.keys
        .filter { it.startsWith("$family.") && it.count { char -> char == '.' } > 1 }
        .map { it.split('.')[1] }
        .distinct()
        .sorted()
}
