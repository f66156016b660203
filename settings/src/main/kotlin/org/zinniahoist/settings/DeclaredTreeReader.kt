package org.zinniahoist.settings

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import org.zinniahoist.model.BranchName
import java.nio.file.Path

/** Reads the settings tree from one or more INI files; all faults are returned at once, by file and line. */
public object DeclaredTreeReader {
    /** Reads [paths]. */
    public fun read(paths: List<Path>): Either<NonEmptyList<SettingsFault>, DeclaredTree> {
        val texts = paths.map { path -> path to readText(path) }
        val unreadable = texts.flatMap { it.second.leftOrNull().orEmpty() }.toNonEmptyListOrNull()
        return unreadable?.left()
            ?: parse(texts.associate { (path, text) -> path.toString() to text.getOrNull().orEmpty() })
    }

    /** Parses the texts of [files] by file name. */
    public fun parse(files: Map<String, String>): Either<NonEmptyList<SettingsFault>, DeclaredTree> {
        val parser = DeclaredTreeParser()
        files.forEach { (file, text) -> parser.add(IniDocument.parse(file, text)) }
        val tree = parser.tree()
        val faults = parser.faults.sortedBy { it.place }.toNonEmptyListOrNull()
        return faults?.left() ?: tree.right()
    }
}

private class DeclaredTreeParser {
    val faults = mutableListOf<SettingsFault>()
    private val sections = mutableMapOf<BranchName, IniSection>()
    private val entries = mutableMapOf<Pair<BranchName, String>, IniEntry>()
    private val canonical = mutableMapOf<Pair<BranchName, String>, String>()

    fun add(document: IniDocument) {
        faults += document.faults
        document.sections.forEach { section ->
            val name = BranchName(section.name)
            val first = sections[name]
            when {
                !name.isValid() -> faults += SettingsFault.UnknownSection(section.place, section.name, BRANCH_FORM)
                first != null -> faults += SettingsFault.DuplicateSection(section.place, section.name, first.place)
                else -> {
                    sections[name] = section
                    section.entries.forEach { add(name, it) }
                }
            }
        }
    }

    fun tree(): DeclaredTree {
        checkParents()
        val tree = DeclaredTree(sections.keys.associateWith { branch(it) })
        // Contradictions between keys are looked for once each key by itself is right, or they would repeat its fault.
        if (faults.isEmpty()) checkRules(tree.toTree())
        return tree
    }

    private fun branch(name: BranchName): DeclaredBranch {
        val values = canonical.filterKeys { it.first == name }.mapKeys { it.key.second }
        return DeclaredBranch(values[OFFICE_KEY]?.let { OfficeName(it) }, values - OFFICE_KEY)
    }

    private fun add(branch: BranchName, entry: IniEntry) {
        val type = if (entry.key == OFFICE_KEY) KeyType.Name else TreeSchema.find(entry.key)?.type
        val first = entries.putIfAbsent(branch to entry.key, entry)
        val value = type?.canonical(entry.value)
        when {
            type == null -> faults += unknownKey(entry)
            first != null -> faults += SettingsFault.DuplicateKey(entry.place, entry.key, entry.value, first.place)
            value == null -> {
                faults += SettingsFault.InvalidValue(entry.place, entry.key, entry.value, type.allowed)
            }
            else -> canonical[branch to entry.key] = value
        }
    }

    private fun unknownKey(entry: IniEntry): SettingsFault {
        val suggestion = TreeSchema.suggest(entry.key)
        return SettingsFault.UnknownKey(entry.place, entry.key, entry.value, "keys of the reference", suggestion)
    }

    private fun checkParents() {
        sections.forEach { (name, section) ->
            val parent = name.parent
            if (parent != null && parent !in sections) {
                val allowed = "branches below a declared branch; [$parent] is not declared"
                val suggestion = suggestionFor(parent.value, sections.keys.map { it.value })
                faults += SettingsFault.UnknownSection(section.place, section.name, allowed, suggestion)
            }
            if (parent == null && section.entries.none { it.key == OFFICE_KEY }) {
                faults += SettingsFault.MissingKey(section.place, OFFICE_KEY, KeyType.Name.allowed)
            }
        }
    }

    private fun checkRules(tree: SettingsTree) {
        val resolved = tree.resolveAll()
        treeErrors(resolved).forEach { error ->
            when (error) {
                is EditError.Inconsistent -> {
                    val place = place(resolved, error.branch, error.key)
                    faults += SettingsFault.InvalidValue(place, error.key, error.found, error.allowed)
                }

                is EditError.MissingKey -> {
                    val place = sections.getValue(error.branch).place
                    faults += SettingsFault.MissingKey(place, error.key, error.allowed)
                }

                else -> error("unexpected ${error.message}")
            }
        }
    }

    /** Returns the line that sets [key] for [branch], or the branch's section if the value is a default. */
    private fun place(resolved: Resolved, branch: BranchName, key: String): Place {
        val origin = resolved.getValue(branch)[key]?.branch ?: branch
        return entries[origin to key]?.place ?: sections.getValue(branch).place
    }
}
