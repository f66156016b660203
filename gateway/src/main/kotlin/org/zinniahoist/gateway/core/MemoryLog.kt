package org.zinniahoist.gateway.core

import io.github.oshai.kotlinlogging.KotlinLogging
import org.zinniahoist.consensus.LogSize
import org.zinniahoist.consensus.WaitingEvents
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.model.Moment
import org.zinniahoist.wire.UnsentFrames
import kotlin.time.Duration.Companion.seconds

/** What the runs of items hold in memory: runs in progress, results that are not listed yet, characters of texts. */
internal data class RunSize(
    val runs: Int = 0,
    val unlistedResults: Int = 0,
    val textCharacters: Long = 0,
)

/**
 * What the parts of a core hold in memory.
 *
 * @property resultBytes bytes of the listed results of all jobs.
 * @property bodyBytes bytes of the bodies of all jobs.
 * @property textBytes bytes of the recorded texts of items without a result.
 * @property unsent what waits for sending, by link.
 * @property calls calls of other processes without an answer.
 */
internal data class CoreSize(
    val log: LogSize = LogSize(),
    val jobs: Int = 0,
    val resultBytes: Long = 0,
    val bodyBytes: Long = 0,
    val textBytes: Long = 0,
    val waiting: WaitingEvents = WaitingEvents(0, 0),
    val unsent: List<UnsentFrames> = emptyList(),
    val calls: Int = 0,
    val runs: RunSize = RunSize(),
)

/** Bytes of the heap in use, and the most that may be used. */
internal data class HeapSize(
    val used: Long,
    val maximum: Long,
)

/**
 * Shows what holds the memory of a core, as gauges and as one line a second. All functions run on the engine's thread.
 */
internal class MemoryLog(
    metrics: GatewayMetrics,
    private val heap: () -> HeapSize = ::heapOfProcess,
    private val write: (String) -> Unit = { logger.info { it } },
) {
    /** Written on the engine's thread and read by the thread that answers for the metrics. */
    @Volatile
    private var latest = CoreSize()
    private var writtenAt: Moment? = null

    /** The least and the most of the heap that was in use since the last line; the least is near to what is live. */
    private var least = Long.MAX_VALUE
    private var most = 0L

    init {
        GAUGES.forEach { (name, gauge) -> metrics.gauge("zinniahoist_memory_$name", gauge.help) { gauge.read(latest) } }
        metrics.gauge("zinniahoist_memory_heap_bytes", "Heap in use, in bytes.") { heap().used }
    }

    /** Notes the heap at [now]; once a second reads what the parts hold and writes a line. */
    fun tick(now: Moment, read: () -> CoreSize) {
        val present = heap()
        least = minOf(least, present.used)
        most = maxOf(most, present.used)
        if (writtenAt?.let { now - it < LINE_INTERVAL } == true) return
        writtenAt = now
        val size = read()
        latest = size
        write(line(size, present))
        least = Long.MAX_VALUE
        most = 0
    }

    private fun line(size: CoreSize, present: HeapSize): String = with(size) {
        val largest = unsent.maxOfOrNull { it.bytes } ?: 0
        "event=memory heap=${present.used} heap-least=$least heap-most=$most heap-maximum=${present.maximum} " +
            "log-entries=${log.entries} log-bytes=${log.commandBytes} snapshot-bytes=${log.snapshotBytes} " +
            "replicated-bytes=${log.sentBytes} jobs=$jobs result-bytes=$resultBytes body-bytes=$bodyBytes " +
            "text-bytes=$textBytes " +
            "replica-events=${waiting.events} replica-event-bytes=${waiting.messageBytes} " +
            "links=${unsent.size} unsent-frames=${unsent.sumOf { it.frames }} " +
            "unsent-bytes=${unsent.sumOf { it.bytes }} unsent-bytes-of-one=$largest calls=$calls " +
            "runs=${runs.runs} unlisted-results=${runs.unlistedResults} text-characters=${runs.textCharacters}"
    }

    private class Gauge(
        val help: String,
        val read: (CoreSize) -> Number,
    )

    private companion object {
        private val logger = KotlinLogging.logger {}

        /** Memory may fill within seconds. */
        val LINE_INTERVAL = 1.seconds

        val GAUGES = mapOf(
            "log_bytes" to Gauge("Commands of the log in memory, in bytes.") { it.log.commandBytes },
            "snapshot_bytes" to Gauge("The latest snapshot in memory, in bytes.") { it.log.snapshotBytes },
            "replicated_bytes" to Gauge("Commands and snapshots sent to replicas, in bytes.") { it.log.sentBytes },
            "result_bytes" to Gauge("Listed results of all jobs, in bytes.") { it.resultBytes },
            "body_bytes" to Gauge("Bodies of all jobs, in bytes.") { it.bodyBytes },
            "text_bytes" to Gauge("Recorded texts of unfinished items, in bytes.") { it.textBytes },
            "replica_event_bytes" to Gauge("Messages that wait for the replica, in bytes.") { it.waiting.messageBytes },
            "unsent_bytes" to Gauge("Frames that wait on all links, in bytes.") { size ->
                size.unsent.sumOf { it.bytes }
            },
            "text_characters" to Gauge("Texts of unfinished items, in characters.") { it.runs.textCharacters },
        )

        fun heapOfProcess(): HeapSize = Runtime.getRuntime().run { HeapSize(totalMemory() - freeMemory(), maxMemory()) }
    }
}
