package org.zinniahoist.gateway.core

import io.github.oshai.kotlinlogging.KotlinLogging
import org.zinniahoist.consensus.LogSize
import org.zinniahoist.consensus.QueuedEvents
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.model.Moment
import org.zinniahoist.wire.UnsentFrames
import kotlin.time.Duration.Companion.seconds

/** In-memory state of item runs: runs in progress, results not committed yet, and text length in characters. */
internal data class RunSize(
    val runs: Int = 0,
    val unlistedResults: Int = 0,
    val textCharacters: Long = 0,
)

/**
 * Memory use of the components of a core.
 *
 * @property resultBytes bytes of the committed results of all jobs.
 * @property bodyBytes bytes of the bodies of all jobs.
 * @property textBytes bytes of the recorded texts of items without a result.
 * @property unsent frames queued for sending, by link.
 * @property calls number of calls of other processes whose reply is not queued yet.
 */
internal data class CoreSize(
    val log: LogSize = LogSize(),
    val jobs: Int = 0,
    val resultBytes: Long = 0,
    val bodyBytes: Long = 0,
    val textBytes: Long = 0,
    val waiting: QueuedEvents = QueuedEvents(0, 0),
    val unsent: List<UnsentFrames> = emptyList(),
    val calls: Int = 0,
    val runs: RunSize = RunSize(),
)

/** Used and maximum heap size, in bytes. */
internal data class HeapSize(
    val used: Long,
    val maximum: Long,
)

/**
 * Reports the memory use of a core by component, as gauges and as one log line per second. All functions run on the
 * engine thread.
 */
internal class MemoryLog(
    metrics: GatewayMetrics,
    private val heap: () -> HeapSize = ::heapOfProcess,
    private val write: (String) -> Unit = { logger.info { it } },
) {
    /** Written on the engine thread and read by the metrics endpoint. */
    @Volatile
    private var latest = CoreSize()
    private var writtenAt: Moment? = null

    /** Minimum and maximum heap use since the last line, in bytes; the minimum approximates the live data. */
    private var least = Long.MAX_VALUE
    private var most = 0L

    init {
        GAUGES.forEach { (name, gauge) -> metrics.gauge("zinniahoist_memory_$name", gauge.help) { gauge.read(latest) } }
        metrics.gauge("zinniahoist_memory_heap_bytes", "Heap in use, in bytes.") { heap().used }
    }

    /** Samples the heap at [now]; once per second also calls [read] for the component sizes and writes a line. */
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

        /** Short, because memory may fill within seconds. */
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
