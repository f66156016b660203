package org.zinniahoist.operator

import java.util.Locale

/** Draws a step as SVG: a row for each engine, with a lane for each sample that runs at the same time. */
internal class StepDrawing(private val picture: StepPicture) {
    private val content = StringBuilder()
    private val duration = (picture.end - picture.start).coerceAtLeast(1)

    fun svg(): String {
        var top = HEADER
        picture.engines.forEach { engine -> top = row(engine, top) }
        val rows = content.toString()
        // The grid lies below the bars, so that it does not cut them.
        content.clear()
        axis(top)
        val height = top + FOOTER
        return """<svg xmlns="http://www.w3.org/2000/svg" width="$WIDTH" height="$height" """ +
            """viewBox="0 0 $WIDTH $height" font-family="sans-serif" font-size="11">""" + "\n" +
            """<rect width="$WIDTH" height="$height" fill="white"/>""" + "\n" + header() + content + rows + "</svg>\n"
    }

    private fun header(): String {
        val recorded = picture.bars.count { it.recorded }
        val title = "step ${picture.step}: ${picture.bars.size} attempts, $recorded recorded, $duration ms"
        val entries = listOf(
            RECORDED to "recorded sample",
            UNRECORDED to "attempt without record",
            STALL to "no sample running",
            SWAP to "weight swap",
            FAULT to "fault of the engine",
        )
        val legend = entries.withIndex().joinToString("") { (index, entry) ->
            val x = LEFT + index * LEGEND_WIDTH
            """<rect x="$x" y="28" width="10" height="10" fill="${entry.first}"/>""" +
                """<text x="${x + 14}" y="37">${entry.second}</text>""" + "\n"
        }
        return """<text x="$LEFT" y="18" font-size="14" font-weight="bold">${escape(title)}</text>""" + "\n" + legend
    }

    /** Draws the row of [engine] from [top] and returns where the next one starts. */
    private fun row(engine: String, top: Int): Int {
        val lanes = lanes(picture.bars.filter { it.engine == engine })
        val height = maxOf(lanes.size * LANE, SMALLEST_ROW)
        line("""<text x="8" y="${top + height / 2 + 4}">${escape(engine)}</text>""")
        picture.stalls.filter { it.engine == engine }.forEach {
            line(box(it.start, it.end, top, height, STALL, "no sample running, ${it.end - it.start} ms"))
        }
        lanes.forEachIndexed { lane, bars -> bars.forEach { bar(it, top + lane * LANE) } }
        picture.marks.filter { it.engine == engine }.forEach { mark ->
            val x = number(x(mark.time))
            val color = if (mark.kind == MarkKind.SWAP) SWAP else FAULT
            line("""<line x1="$x" x2="$x" y1="$top" y2="${top + height}" stroke="$color" stroke-width="2"/>""")
        }
        val bottom = top + height + GAP
        line("""<line x1="8" x2="${WIDTH - RIGHT}" y1="${bottom - GAP / 2}" y2="${bottom - GAP / 2}" stroke="#ddd"/>""")
        return bottom
    }

    private fun bar(bar: SampleBar, top: Int) {
        val color = if (bar.recorded) RECORDED else UNRECORDED
        val label = bar.sample.split('/').takeLast(2).joinToString("/")
        line(box(bar.start, bar.end, top, LANE - 2, color, "${bar.sample}, ${bar.end - bar.start} ms"))
        if (x(bar.end) - x(bar.start) > label.length * CHARACTER) {
            line("""<text x="${number(x(bar.start) + 3)}" y="${top + LANE - 5}" fill="white">${escape(label)}</text>""")
        }
    }

    /** Puts each bar into the first lane that is free at its start. */
    private fun lanes(bars: List<SampleBar>): List<List<SampleBar>> {
        val lanes = mutableListOf<MutableList<SampleBar>>()
        bars.sortedBy { it.start }.forEach { bar ->
            val free = lanes.find { it.last().end <= bar.start }
            if (free == null) lanes += mutableListOf(bar) else free += bar
        }
        return lanes
    }

    private fun axis(top: Int) {
        for (tick in 0..TICKS) {
            val time = duration * tick / TICKS
            val x = number(x(picture.start + time))
            line("""<line x1="$x" x2="$x" y1="$HEADER" y2="$top" stroke="#999" stroke-dasharray="1 4"/>""")
            line("""<text x="$x" y="${top + 14}" text-anchor="middle">$time ms</text>""")
        }
    }

    private fun box(
        start: Long,
        end: Long,
        top: Int,
        height: Int,
        color: String,
        title: String,
    ): String {
        val width = number(maxOf(1.0, x(end) - x(start)))
        return """<rect x="${number(x(start))}" y="$top" width="$width" height="$height" fill="$color">""" +
            """<title>${escape(title)}</title></rect>"""
    }

    private fun x(time: Long): Double = LEFT + (WIDTH - LEFT - RIGHT) * (time - picture.start).toDouble() / duration

    private fun line(text: String) {
        content.append(text).append('\n')
    }

    private fun number(value: Double) = String.format(Locale.ROOT, "%.1f", value)

    private fun escape(text: String) =
        text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;")

    private companion object {
        const val WIDTH = 1_200
        const val LEFT = 130
        const val RIGHT = 40
        const val HEADER = 54
        const val FOOTER = 24
        const val LANE = 14
        const val GAP = 8
        const val SMALLEST_ROW = 20
        const val LEGEND_WIDTH = 200
        const val CHARACTER = 7
        const val TICKS = 6
        const val RECORDED = "#2a7f9e"
        const val UNRECORDED = "#d98032"
        const val STALL = "#f3d9dc"
        const val SWAP = "#5b2d8e"
        const val FAULT = "#c0182c"
    }
}
