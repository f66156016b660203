package org.zinniahoist.settings

import org.ini4j.Config
import org.ini4j.InvalidFileFormatException
import org.ini4j.spi.IniHandler
import org.ini4j.spi.IniParser
import java.io.Reader

/** A `key = value` line with its location. */
internal data class IniEntry(
    val key: String,
    val value: String,
    val location: SourceLocation,
)

/** A section with its entries in file order. */
internal data class IniSection(
    val name: String,
    val location: SourceLocation,
    val entries: List<IniEntry>,
)

/** Parsed INI file: sections with source locations, and the syntax errors. */
internal data class IniDocument(
    val sections: List<IniSection>,
    val errors: List<SettingsError>,
) {
    companion object {
        /** Parses [text]. Records an error for each malformed line and continues with the next line. */
        fun parse(file: String, text: String): IniDocument {
            val lines = text.removePrefix("\uFEFF").lines().toMutableList()
            val malformedLines = mutableListOf<SettingsError>()
            while (true) {
                val collector = IniEventCollector(file, lines)
                try {
                    parser().parse(collector.reader, collector)
                    return IniDocument(collector.sections(), malformedLines + collector.errors)
                } catch (_: InvalidFileFormatException) {
                    val line = collector.reader.line
                    malformedLines += SettingsError.MalformedLine(SourceLocation(file, line), lines[line - 1].trim())
                    // Blanks the unclosed section header and parses again, so that one run also reports later errors.
                    lines[line - 1] = ""
                }
            }
        }

        private fun parser(): IniParser = IniParser.newInstance(
            Config().apply {
                isEscape = false
                isEscapeNewline = false
                isEmptyOption = true
                isEmptySection = true
                isGlobalSection = true
                isUnnamedSection = true
            },
        )
    }
}

/**
 * Reader that returns at most one line per read, so that [line] is the line that ini4j is parsing.
 *
 * ini4j passes no line numbers to its handler, and it buffers only what a single read returns.
 */
private class LineReader(private val lines: List<String>) : Reader() {
    var line: Int = 0
        private set
    private var remainder = ""

    override fun read(buffer: CharArray, offset: Int, length: Int): Int {
        if (remainder.isEmpty()) {
            if (line == lines.size) return -1
            remainder = lines[line++] + "\n"
        }
        val count = minOf(length, remainder.length)
        remainder.toCharArray(buffer, offset, 0, count)
        remainder = remainder.drop(count)
        return count
    }

    override fun close() = Unit
}

private class IniEventCollector(
    private val file: String,
    lines: List<String>,
) : IniHandler {
    val reader = LineReader(lines)
    val errors = mutableListOf<SettingsError>()
    private val sectionHeaders = mutableListOf<Pair<String, SourceLocation>>()
    private val entries = mutableListOf<MutableList<IniEntry>>()

    private val location: SourceLocation get() = SourceLocation(file, reader.line)

    fun sections(): List<IniSection> =
        sectionHeaders.mapIndexed { index, (name, location) -> IniSection(name, location, entries[index]) }

    override fun startIni() = Unit

    override fun endIni() = Unit

    override fun startSection(sectionName: String?) {
        sectionHeaders += sectionName.orEmpty().trim() to location
        entries += mutableListOf<IniEntry>()
    }

    override fun endSection() = Unit

    override fun handleComment(comment: String?) = Unit

    override fun handleOption(optionName: String, optionValue: String?) {
        if (optionValue == null || optionName.isEmpty()) {
            errors += SettingsError.MalformedLine(location, optionName)
        } else {
            entries.last() += IniEntry(optionName.trim(), optionValue.trim(), location)
        }
    }
}
