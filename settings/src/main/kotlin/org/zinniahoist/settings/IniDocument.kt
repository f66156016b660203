package org.zinniahoist.settings

import org.ini4j.Config
import org.ini4j.InvalidFileFormatException
import org.ini4j.spi.IniHandler
import org.ini4j.spi.IniParser
import java.io.Reader

/** One `key = value` line of a file. */
internal data class IniEntry(
    val key: String,
    val value: String,
    val place: Place,
)

/** One section of a file, in the order of the file. */
internal data class IniSection(
    val name: String,
    val place: Place,
    val entries: List<IniEntry>,
)

/** The sections of a file with the place of each line. */
internal data class IniDocument(
    val sections: List<IniSection>,
    val faults: List<SettingsFault>,
) {
    companion object {
        /** Parses [text]. Malformed lines become faults and the lines after them are still read. */
        fun parse(file: String, text: String): IniDocument {
            val lines = text.removePrefix("\uFEFF").lines().toMutableList()
            val malformed = mutableListOf<SettingsFault>()
            while (true) {
                val collector = Collector(file, lines)
                try {
                    parser().parse(collector.reader, collector)
                    return IniDocument(collector.sections(), malformed + collector.faults)
                } catch (_: InvalidFileFormatException) {
                    val line = collector.reader.line
                    malformed += SettingsFault.MalformedLine(Place(file, line), lines[line - 1].trim())
                    // An unclosed section heading is dropped alone, so that one run reports the faults after it too.
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
 * Hands out one line per read.
 *
 * ini4j reports no line numbers to its handler. As it buffers only what one read returns, [line] is the line that it
 * works on.
 */
private class LineReader(private val lines: List<String>) : Reader() {
    var line: Int = 0
        private set
    private var pending = ""

    override fun read(buffer: CharArray, offset: Int, length: Int): Int {
        if (pending.isEmpty()) {
            if (line == lines.size) return -1
            pending = lines[line++] + "\n"
        }
        val count = minOf(length, pending.length)
        pending.toCharArray(buffer, offset, 0, count)
        pending = pending.drop(count)
        return count
    }

    override fun close() = Unit
}

private class Collector(
    private val file: String,
    lines: List<String>,
) : IniHandler {
    val reader = LineReader(lines)
    val faults = mutableListOf<SettingsFault>()
    private val headings = mutableListOf<Pair<String, Place>>()
    private val entries = mutableListOf<MutableList<IniEntry>>()

    private val place: Place get() = Place(file, reader.line)

    fun sections(): List<IniSection> =
        headings.mapIndexed { index, (name, place) -> IniSection(name, place, entries[index]) }

    override fun startIni() = Unit

    override fun endIni() = Unit

    override fun startSection(sectionName: String?) {
        headings += sectionName.orEmpty().trim() to place
        entries += mutableListOf<IniEntry>()
    }

    override fun endSection() = Unit

    override fun handleComment(comment: String?) = Unit

    override fun handleOption(optionName: String, optionValue: String?) {
        if (optionValue == null || optionName.isEmpty()) {
            faults += SettingsFault.MalformedLine(place, optionName)
        } else {
            entries.last() += IniEntry(optionName.trim(), optionValue.trim(), place)
        }
    }
}
