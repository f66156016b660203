package org.zinniahoist.settings

/** Typed values of a daemon's file, with the validation errors found so far. */
internal class DaemonValues(
    private val file: String,
    document: IniDocument,
) {
    private val entries = mutableMapOf<Pair<String, String>, IniEntry>()
    private val sectionLocations = mutableMapOf<String, SourceLocation>()
    private val sectionOf: Map<SettingKey<*>, String> =
        DaemonSchema.sections.flatMap { section -> section.keys.map { it to section.name } }.toMap()

    val errors: MutableList<SettingsError> = document.errors.toMutableList()

    init {
        document.sections.forEach { read(it) }
        DaemonSchema.sections.flatMap { it.keys }.filter { it.required }.forEach { reportIfMissing(it) }
    }

    /** Returns the value of [key]; if it is absent or invalid, its default, or null if it has none. */
    fun <T : Any> value(key: SettingKey<T>): T? = entry(key)?.let { key.type.parse(it.value) } ?: key.default

    fun entry(key: SettingKey<*>): IniEntry? = entries[sectionOf.getValue(key) to key.name]

    fun location(key: SettingKey<*>): SourceLocation =
        entry(key)?.location ?: sectionLocations[sectionOf.getValue(key)] ?: SourceLocation(file, 0)

    fun entriesOf(section: String): List<IniEntry> = entries.filterKeys { it.first == section }.values.toList()

    /** Records an error if [key] is absent. */
    fun reportIfMissing(key: SettingKey<*>) {
        if (entry(key) == null) {
            errors += SettingsError.MissingKey(location(key), qualified(key), key.type.allowed)
        }
    }

    /** Records that the value of [key] is inconsistent with other keys; [allowed] describes the allowed values. */
    fun reportInvalid(key: SettingKey<*>, allowed: String) {
        val found = entry(key)?.value ?: key.defaultText.orEmpty()
        errors += SettingsError.InvalidValue(location(key), qualified(key), found, allowed)
    }

    private fun qualified(key: SettingKey<*>): String = "${sectionOf.getValue(key)}.${key.name}"

    private fun read(section: IniSection) {
        val schema = DaemonSchema.sections.firstOrNull { it.name == section.name }
        val first = sectionLocations[section.name]
        when {
            schema == null -> errors += unknownSection(section)
            first != null -> errors += SettingsError.DuplicateSection(section.location, section.name, first)
            else -> sectionLocations[section.name] = section.location
        }
        if (schema != null) section.entries.forEach { read(schema, it) }
    }

    private fun unknownSection(section: IniSection): SettingsError {
        val known = DaemonSchema.sections.map { it.name }
        val allowed = "sections ${known.joinToString(", ")}"
        return SettingsError.UnknownSection(section.location, section.name, allowed, suggestionFor(section.name, known))
    }

    private fun read(schema: SectionSchema, entry: IniEntry) {
        val name = "${schema.name}.${entry.key}"
        val type = schema.namedValues ?: schema.keys.firstOrNull { it.name == entry.key }?.type
        val first = entries[schema.name to entry.key]
        when {
            type == null -> errors += unknownKey(schema, entry)
            first != null -> errors += SettingsError.DuplicateKey(entry.location, name, entry.value, first.location)
            schema.namedValues != null && KeyType.Name.parse(entry.key) == null ->
                errors += SettingsError.UnknownKey(entry.location, name, entry.value, KeyType.Name.allowed)
            else -> {
                entries[schema.name to entry.key] = entry
                if (type.parse(entry.value) == null) {
                    errors += SettingsError.InvalidValue(entry.location, name, entry.value, type.allowed)
                }
            }
        }
    }

    private fun unknownKey(schema: SectionSchema, entry: IniEntry): SettingsError {
        val known = schema.keys.map { it.name }
        val allowed = "keys ${known.joinToString(", ")}"
        val suggestion = suggestionFor(entry.key, known)
        return SettingsError.UnknownKey(entry.location, "${schema.name}.${entry.key}", entry.value, allowed, suggestion)
    }
}
