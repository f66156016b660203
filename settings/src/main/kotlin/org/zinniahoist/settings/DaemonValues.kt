package org.zinniahoist.settings

/** Typed values of a daemon's file, with the faults found so far. */
internal class DaemonValues(
    private val file: String,
    document: IniDocument,
) {
    private val entries = mutableMapOf<Pair<String, String>, IniEntry>()
    private val headings = mutableMapOf<String, Place>()
    private val sectionOf: Map<SettingKey<*>, String> =
        DaemonSchema.sections.flatMap { section -> section.keys.map { it to section.name } }.toMap()

    val faults: MutableList<SettingsFault> = document.faults.toMutableList()

    init {
        document.sections.forEach { read(it) }
        DaemonSchema.sections.flatMap { it.keys }.filter { it.required }.forEach { require(it) }
    }

    /** Returns the value of [key], its default if it is absent or faulty, or null without a default. */
    fun <T : Any> value(key: SettingKey<T>): T? = entry(key)?.let { key.type.parse(it.value) } ?: key.default

    fun entry(key: SettingKey<*>): IniEntry? = entries[sectionOf.getValue(key) to key.name]

    fun place(key: SettingKey<*>): Place = entry(key)?.place ?: headings[sectionOf.getValue(key)] ?: Place(file, 0)

    fun entriesOf(section: String): List<IniEntry> = entries.filterKeys { it.first == section }.values.toList()

    /** Reports [key] if it is absent. */
    fun require(key: SettingKey<*>) {
        if (entry(key) == null) {
            faults += SettingsFault.MissingKey(place(key), qualified(key), key.type.allowed)
        }
    }

    /** Reports that the value of [key] is not [allowed] together with other keys. */
    fun reject(key: SettingKey<*>, allowed: String) {
        val found = entry(key)?.value ?: key.defaultText.orEmpty()
        faults += SettingsFault.InvalidValue(place(key), qualified(key), found, allowed)
    }

    private fun qualified(key: SettingKey<*>): String = "${sectionOf.getValue(key)}.${key.name}"

    private fun read(section: IniSection) {
        val schema = DaemonSchema.sections.firstOrNull { it.name == section.name }
        val first = headings[section.name]
        when {
            schema == null -> faults += unknown(section)
            first != null -> faults += SettingsFault.DuplicateSection(section.place, section.name, first)
            else -> headings[section.name] = section.place
        }
        if (schema != null) section.entries.forEach { read(schema, it) }
    }

    private fun unknown(section: IniSection): SettingsFault {
        val known = DaemonSchema.sections.map { it.name }
        val allowed = "sections ${known.joinToString(", ")}"
        return SettingsFault.UnknownSection(section.place, section.name, allowed, suggestionFor(section.name, known))
    }

    private fun read(schema: SectionSchema, entry: IniEntry) {
        val name = "${schema.name}.${entry.key}"
        val type = schema.namedValues ?: schema.keys.firstOrNull { it.name == entry.key }?.type
        val first = entries[schema.name to entry.key]
        when {
            type == null -> faults += unknown(schema, entry)
            first != null -> faults += SettingsFault.DuplicateKey(entry.place, name, entry.value, first.place)
            schema.namedValues != null && KeyType.Name.parse(entry.key) == null ->
                faults += SettingsFault.UnknownKey(entry.place, name, entry.value, KeyType.Name.allowed)
            else -> {
                entries[schema.name to entry.key] = entry
                if (type.parse(entry.value) == null) {
                    faults += SettingsFault.InvalidValue(entry.place, name, entry.value, type.allowed)
                }
            }
        }
    }

    private fun unknown(schema: SectionSchema, entry: IniEntry): SettingsFault {
        val known = schema.keys.map { it.name }
        val allowed = "keys ${known.joinToString(", ")}"
        val suggestion = suggestionFor(entry.key, known)
        return SettingsFault.UnknownKey(entry.place, "${schema.name}.${entry.key}", entry.value, allowed, suggestion)
    }
}
