package org.zinniahoist.standin.engine

import org.junit.jupiter.api.Test
import org.zinniahoist.standin.StandInClock
import org.zinniahoist.standin.awaitUntil
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class DecodeLoopTest {
    private val clock = StandInClock(100.0)
    private val faults = EngineFaults()
    private val ended = CopyOnWriteArrayList<String>()
    private val quick =
        EngineConfiguration(
            maximumBatch = 1,
            stepTime = Duration.ZERO,
            stepTimePerStream = 1.milliseconds,
            prefillTimePerToken = Duration.ZERO,
        )

    private fun loop(configuration: EngineConfiguration, onCounts: (DecodeCounts) -> Unit = {}) =
        DecodeLoop(configuration, clock, faults, PrefixCache(1_024) { _, _ -> }, { 1L }, {}, onCounts)

    private fun stream(identifier: String, tokens: Int = 1): DecodeStream {
        val answer = AnswerText("prompt", 0, tokens, LengthDistribution(4_000, 4_001))
        return DecodeStream(identifier, "suggestion", "prompt", answer, 0, false, Recorder(identifier))
    }

    private inner class Recorder(private val identifier: String) : TokenSink {
        override fun accept(text: String, version: Long?, finishReason: String?) {
            if (finishReason != null) ended.add(identifier)
        }

        override fun abort() = Unit
    }

    /** Guards against a loop thread that ends because it runs before the start has published it. */
    @Test
    fun `serves streams after each start`() {
        val loop = loop(quick)
        repeat(2_000) { start ->
            loop.start()
            loop.submit(stream("$start"))
            awaitUntil { ended.size == start + 1 }
            loop.stop()
        }
    }

    /** Guards against a queue that is not in arrival order, which a batch of one shows. */
    @Test
    fun `admits streams in arrival order`() {
        val loop = loop(quick)
        faults.pauseBeforeFirstToken = 60_000.seconds
        loop.start()
        val first = stream("first")
        loop.submit(first)
        awaitUntil { loop.counts().running == 1 }
        faults.pauseBeforeFirstToken = Duration.ZERO
        val identifiers = List(50) { "stream-$it" }
        identifiers.forEach { loop.submit(stream(it, 3)) }
        expectThat(loop.counts().waiting).isEqualTo(identifiers.size)
        loop.cancel(first)
        awaitUntil { ended.size == identifiers.size }
        loop.stop()
        expectThat(ended.toList()).isEqualTo(identifiers)
    }

    /** Guards against tokens of a batch that cost no more than those of a single stream. */
    @Test
    fun `spends time on each stream of a batch`() {
        val loop = loop(quick.copy(maximumBatch = 16, stepTimePerStream = 100.milliseconds))
        loop.start()
        // The loop is idle until its clock is past the time that late steps may make up for.
        clock.sleep(6.seconds)
        val start = clock.now()
        repeat(16) { loop.submit(stream("$it", 20)) }
        awaitUntil { ended.size == 16 }
        expectThat(clock.now() - start).isGreaterThanOrEqualTo(100.milliseconds * 16 * 20)
        loop.stop()
    }

    /** Guards against a load report that keeps a stream which was cancelled after the report of its last step. */
    @Test
    fun `reports the removal of a stream cancelled between two steps`() {
        val reported = CopyOnWriteArrayList<Int>()
        val stream = stream("cancelled", 4_000)
        lateinit var loop: DecodeLoop
        loop = loop(quick) { counts ->
            reported.add(counts.running)
            if (stream.position > 0) loop.cancel(stream)
        }
        loop.start()
        loop.submit(stream)
        awaitUntil { stream.cancelled && reported.last() == 0 }
        loop.stop()
    }
}
