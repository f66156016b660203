package org.zinniahoist.gateway.core

import org.junit.jupiter.api.Test
import org.zinniahoist.consensus.LogSize
import org.zinniahoist.consensus.QueuedEvents
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.model.Moment
import org.zinniahoist.wire.UnsentFrames
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.single
import kotlin.time.Duration.Companion.milliseconds

internal class MemoryLogTest {
    private val size = CoreSize(
        log = LogSize(entries = 3, commandBytes = 700, snapshotBytes = 50, sentBytes = 2_100),
        jobs = 2,
        resultBytes = 400,
        bodyBytes = 30,
        textBytes = 25,
        waiting = QueuedEvents(events = 5, messageBytes = 90),
        unsent = listOf(UnsentFrames(2, 1_000), UnsentFrames(1, 10)),
        calls = 4,
        runs = RunSize(runs = 6, unlistedResults = 1, textCharacters = 80),
    )
    private val metrics = GatewayMetrics()
    private val lines = ArrayList<String>()
    private var used = 100L
    private val log = MemoryLog(metrics, { HeapSize(used, maximum = 1_000) }, lines::add)

    /** Guards against a process that runs out of memory without a log of which component used it. */
    @Test
    fun `the line reports the memory use of each component`() {
        log.tick(Moment.ZERO) { size }
        expectThat(lines).single().isEqualTo(
            "event=memory heap=100 heap-least=100 heap-most=100 heap-maximum=1000 log-entries=3 log-bytes=700 " +
                "snapshot-bytes=50 replicated-bytes=2100 jobs=2 result-bytes=400 body-bytes=30 text-bytes=25 " +
                "replica-events=5 replica-event-bytes=90 links=2 unsent-frames=3 unsent-bytes=1010 " +
                "unsent-bytes-of-one=1000 calls=4 runs=6 unlisted-results=1 text-characters=80",
        )
        expectThat(metrics.text()).contains("zinniahoist_memory_unsent_bytes 1010.0")
        expectThat(metrics.text()).contains("zinniahoist_memory_heap_bytes 100.0")
    }

    /** Guards against log flooding, and against heap peaks between two lines that go unreported. */
    @Test
    fun `one line per second reports the minimum and maximum heap use of the interval`() {
        log.tick(Moment.ZERO) { size }
        used = 900
        log.tick(Moment.ZERO + 500.milliseconds) { size }
        used = 200
        log.tick(Moment.ZERO + 1_000.milliseconds) { size }
        expectThat(lines).hasSize(2)
        expectThat(lines.last()).contains("heap=200 heap-least=200 heap-most=900 ")
    }
}
