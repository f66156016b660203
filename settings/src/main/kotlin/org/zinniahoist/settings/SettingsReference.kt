package org.zinniahoist.settings

/** Generates the reference page of all settings from the schemas. */
public object SettingsReference {
    private const val HEADER =
        "| key | type | unit | allowed | default | meaning |\n| --- | --- | --- | --- | --- | --- |\n"

    /** Returns the Markdown text of `docs/settings-reference.md`. */
    public fun render(): String = buildString {
        append("# Settings reference\n\n")
        append("This page is generated from the schema by `SettingsReference.render()`.\n\n")
        append("## The daemon's file\n\n")
        append("An INI file with the sections below. Without TLS a daemon listens on loopback only, unless ")
        append("`allow-plaintext = true`.\n\n")
        DaemonSchema.sections.forEach { append(section("[${it.name}]", it)) }
        append("## The settings tree\n\n")
        append("INI files with a section for each branch, such as `[root/hrubec/cz-central]`. A branch inherits ")
        append("from its parent. The key `office` names the office whose part of the tree starts at the branch; ")
        append("the root needs it. A `*` stands for the name of a trainer, caller or model.\n\n")
        TreeSchema.groups.forEach { append(section(it.name, it)) }
    }.trimEnd() + "\n"

    private fun section(title: String, section: SectionSchema): String {
        val named = section.namedValues?.let { row("<name>", it, "–", "One line for each name.") }.orEmpty()
        val rows = section.keys.joinToString("") { row(it.name, it.type, default(it), it.documentation) }
        return "### $title\n\n${section.documentation}\n\n$HEADER$named$rows\n"
    }

    private fun default(key: SettingKey<*>): String = when {
        key.required -> "required"
        key.default == null -> "absent"
        else -> key.defaultText?.ifEmpty { "none" }.orEmpty()
    }

    private fun row(
        name: String,
        type: KeyType<*>,
        default: String,
        meaning: String,
    ): String = "| `$name` | ${type.label} | ${type.unit ?: "–"} | ${type.allowed} | $default | $meaning |\n"
}
