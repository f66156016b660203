package org.zinniahoist.settings

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import org.zinniahoist.model.BranchName
import java.nio.file.Path

/** Reads the settings tree from one or more INI files. Returns all errors at once, sorted by file and line. */
public object DeclaredTreeReader {
    /** Reads and parses the files at [paths]. */
    public fun read(paths: List<Path>): Either<NonEmptyList<SettingsError>, DeclaredTree> {
        val texts = paths.map { path -> path to readText(path) }
        val unreadable = texts.flatMap { it.second.leftOrNull().orEmpty() }.toNonEmptyListOrNull()
        return unreadable?.left()
            ?: parse(texts.associate { (path, text) -> path.toString() to text.getOrNull().orEmpty() })
    }

    /** Parses [files], which maps file names to their contents. */
    public fun parse(files: Map<String, String>): Either<NonEmptyList<SettingsError>, DeclaredTree> {
        val parser = DeclaredTreeParser()
        files.forEach { (file, text) -> parser.add(IniDocument.parse(file, text)) }
        val tree = parser.tree()
        val errors = parser.errors.sortedBy { it.location }.toNonEmptyListOrNull()
        return errors?.left() ?: tree.right()
    }
}

private class DeclaredTreeParser {
    val errors = mutableListOf<SettingsError>()
    private val sections = mutableMapOf<BranchName, IniSection>()
    private val entries = mutableMapOf<Pair<BranchName, String>, IniEntry>()
    private val canonical = mutableMapOf<Pair<BranchName, String>, String>()

    fun add(document: IniDocument) {
        errors += document.errors
        document.sections.forEach { section ->
            val name = BranchName(section.name)
            val first = sections[name]
            when {
                !name.isValid() ->
                    errors += SettingsError.UnknownSection(section.location, section.name, BRANCH_NAME_FORMAT)
                first != null ->
                    errors += SettingsError.DuplicateSection(section.location, section.name, first.location)
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
        // Checks constraints between keys only if each key is valid; otherwise they would repeat the error of the key.
        if (errors.isEmpty()) checkConsistency(tree.toTree())
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
            type == null -> errors += unknownKey(entry)
            first != null ->
                errors += SettingsError.DuplicateKey(entry.location, entry.key, entry.value, first.location)
            value == null -> {
                errors += SettingsError.InvalidValue(entry.location, entry.key, entry.value, type.allowed)
            }
            else -> canonical[branch to entry.key] = value
        }
    }

    private fun unknownKey(entry: IniEntry): SettingsError {
        val suggestion = TreeSchema.suggest(entry.key)
        return SettingsError.UnknownKey(entry.location, entry.key, entry.value, "keys of the reference", suggestion)
    }

    private fun checkParents() {
        sections.forEach { (name, section) ->
            val parent = name.parent
            if (parent != null && parent !in sections) {
                val allowed = "branches below a declared branch; [$parent] is not declared"
                val suggestion = suggestionFor(parent.value, sections.keys.map { it.value })
                errors += SettingsError.UnknownSection(section.location, section.name, allowed, suggestion)
            }
            if (parent == null && section.entries.none { it.key == OFFICE_KEY }) {
                errors += SettingsError.MissingKey(section.location, OFFICE_KEY, KeyType.Name.allowed)
            }
        }
    }

    private fun checkConsistency(tree: SettingsTree) {
        val resolved = tree.resolveAll()
        treeConsistencyErrors(resolved).forEach { error ->
            when (error) {
                is EditError.Inconsistent -> {
                    val location = location(resolved, error.branch, error.key)
                    errors += SettingsError.InvalidValue(location, error.key, error.found, error.allowed)
                }

                is EditError.MissingKey -> {
                    val location = sections.getValue(error.branch).location
                    errors += SettingsError.MissingKey(location, error.key, error.allowed)
                }

                else -> error("unexpected error of a consistency check: ${error.message}")
            }
        }
    }

    /** Returns the line that sets [key] for [branch], or the section of the branch if the value is a default. */
    private fun location(resolved: ResolvedValues, branch: BranchName, key: String): SourceLocation {
        val definingBranch = resolved.getValue(branch)[key]?.branch ?: branch
        return entries[definingBranch to key]?.location ?: sections.getValue(branch).location
    }
}
