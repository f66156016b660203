package org.zinniahoist.settings

/** Lists the keys of the settings tree. */
public object TreeSchema {
    /** All keys, grouped by the word before the first dot, in the order of the reference. */
    public val groups: List<SectionSchema> = BranchKeys.sections + ContractKeys.sections

    /** All keys by their names; the names of families have a `*`. */
    public val keys: Map<String, SettingKey<*>> = groups.flatMap { it.keys }.associateBy { it.name }

    /** Returns the key that [name] is, or null if the schema has none. */
    public fun find(name: String): SettingKey<*>? {
        keys[name]?.let { return it.takeUnless { '*' in name } }
        val parts = name.split('.')
        if (parts.size != FAMILY_PARTS || KeyType.Name.parse(parts[1]) == null) return null
        return keys["${parts[0]}.*.${parts[2]}"]
    }

    /** Returns the known key nearest to the unknown [name], or null; a family's malformed name has no suggestion. */
    internal fun suggest(name: String): String? {
        val parts = name.split('.')
        val known = if (parts.size == FAMILY_PARTS) keys.keys.map { it.replace("*", parts[1]) } else keys.keys
        return suggestionFor(name, known).takeIf { it != name }
    }

    private const val FAMILY_PARTS = 3
}
