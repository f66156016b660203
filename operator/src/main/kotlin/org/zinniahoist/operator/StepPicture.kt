package org.zinniahoist.operator

import org.zinniahoist.state.report.TimelineEvent

/** Selects the events of one step. */
internal object StepEvents {
    /** Returns the events of [step], and those of its attempts, which do not name the step themselves. */
    fun of(events: List<TimelineEvent>, step: String): List<TimelineEvent> {
        val attempts = events.filter { it.step == step }.mapNotNull { it.attempt }.toSet()
        return events.filter { it.step == step || it.attempt in attempts }
    }
}

internal val TimelineEvent.attempt: String? get() = fields["attempt"]

/** An attempt at a sample on an engine, in milliseconds; it is cut short if it has no recorded sample. */
internal data class SampleBar(
    val engine: String,
    val sample: String,
    val start: Long,
    val end: Long,
    val recorded: Boolean,
)

/** Something that happened to an engine at a time in milliseconds. */
internal data class EngineMark(
    val engine: String,
    val time: Long,
    val kind: MarkKind,
)

internal enum class MarkKind { SWAP, FAULT }

/** A time in which an engine ran no sample of the step. */
internal data class Stall(
    val engine: String,
    val start: Long,
    val end: Long,
)

/** What the picture of one step shows. */
internal data class StepPicture(
    val step: String,
    val bars: List<SampleBar>,
    val marks: List<EngineMark>,
    val stalls: List<Stall>,
) {
    val start: Long get() = bars.minOf { it.start }
    val end: Long get() = bars.maxOf { it.end }
    val engines: List<String> get() = bars.map { it.engine }.distinct().sorted()

    companion object {
        private val FAULTS = setOf("upstream-crashed", "upstream-silent")

        /** Shorter gaps between samples are the time in which the next one is chosen. */
        private const val SHORTEST_STALL_SHARE = 0.02

        fun of(events: List<TimelineEvent>, step: String): StepPicture {
            val own = StepEvents.of(events, step)
            val last = own.maxOfOrNull { it.stamp.milliseconds } ?: 0
            val bars = own.groupBy { it.attempt }.filterKeys { it != null }.values.mapNotNull { bar(it, last) }
            if (bars.isEmpty()) return StepPicture(step, bars, emptyList(), emptyList())
            val span = bars.minOf { it.start }..bars.maxOf { it.end }
            val engines = bars.map { it.engine }.toSet()
            val marks = events.filter {
                it.instance.value in engines && it.stamp.milliseconds in span
            }.mapNotNull(::mark)
            val stalls = bars.groupBy { it.engine }.flatMap { (engine, all) -> stalls(engine, all, span) }
            return StepPicture(step, bars, marks, stalls)
        }

        /** The entry names the sidecar of an attempt as its peer when the attempt starts. */
        private fun bar(events: List<TimelineEvent>, last: Long): SampleBar? {
            val start = events.find { it.name == "attempt-start" } ?: return null
            val end = events.find { it.name == "attempt-end" }?.stamp?.milliseconds ?: last
            val drafted = events.find { it.name == "sample-drafted" }
            return SampleBar(
                engine = start.fields["peer"] ?: return null,
                sample = events.firstNotNullOfOrNull { it.sample }.orEmpty(),
                start = start.stamp.milliseconds,
                end = maxOf(end, start.stamp.milliseconds),
                recorded = drafted?.fields?.get("recorded") == "true",
            )
        }

        private fun mark(event: TimelineEvent): EngineMark? = when {
            event.name == "order-sent" && "LoadVersion" in event.fields["order"].orEmpty() -> MarkKind.SWAP
            event.name in FAULTS -> MarkKind.FAULT
            else -> null
        }?.let { EngineMark(event.instance.value, event.stamp.milliseconds, it) }

        private fun stalls(engine: String, bars: List<SampleBar>, span: LongRange): List<Stall> {
            val shortest = ((span.last - span.first) * SHORTEST_STALL_SHARE).toLong()
            val stalls = mutableListOf<Stall>()
            var busyUntil = span.first
            bars.sortedBy { it.start }.forEach { bar ->
                if (bar.start - busyUntil > shortest) stalls += Stall(engine, busyUntil, bar.start)
                busyUntil = maxOf(busyUntil, bar.end)
            }
            if (span.last - busyUntil > shortest) stalls += Stall(engine, busyUntil, span.last)
            return stalls
        }
    }
}
