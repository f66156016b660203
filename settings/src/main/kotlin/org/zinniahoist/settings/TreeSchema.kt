package org.zinniahoist.settings

/** Schema of the settings tree. */
public object TreeSchema {
    /** All keys, grouped by their first dot-separated segment, in the order of the generated reference. */
    public val groups: List<SectionSchema> = BranchKeys.sections + ContractKeys.sections

    /** All keys by name; the name of a wildcard key contains a `*`. */
    public val keys: Map<String, SettingKey<*>> = groups.flatMap { it.keys }.associateBy { it.name }

    /** Returns the declaration that matches [name], or null if there is none. */
    public fun find(name: String): SettingKey<*>? {
        keys[name]?.let { return it.takeUnless { '*' in name } }
        val parts = name.split('.')
        if (parts.size != WILDCARD_KEY_SEGMENTS || KeyType.Name.parse(parts[1]) == null) return null
        return keys["${parts[0]}.*.${parts[2]}"]
    }

    /** Returns the key most similar to the unknown [name]; null if none is or only the wildcard part is malformed. */
    internal fun suggest(name: String): String? {
        val parts = name.split('.')
        val known = if (parts.size == WILDCARD_KEY_SEGMENTS) keys.keys.map { it.replace("*", parts[1]) } else keys.keys
        return suggestionFor(name, known).takeIf { it != name }
    }

    private const val WILDCARD_KEY_SEGMENTS = 3
}
