package org.zinniahoist.standin.engine

import org.zinniahoist.standin.StandInClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Counts of a decode loop at one time. */
internal data class DecodeCounts(
    val running: Int,
    val waiting: Int,
    val tokensPerSecond: Double,
)

/** Continuous batching on one thread, with admission in arrival order. */
internal class DecodeLoop(
    private val configuration: EngineConfiguration,
    private val clock: StandInClock,
    private val faults: EngineFaults,
    private val cache: PrefixCache,
    private val versionOf: (String) -> Long?,
    private val onPoison: () -> Unit,
    private val onCounts: (DecodeCounts) -> Unit,
) {
    private val lock = Object()
    private val waiting = ArrayDeque<DecodeStream>()
    private val running = mutableListOf<DecodeStream>()

    @Volatile
    private var thread: Thread? = null
    private val rate = TokenRate(clock)

    /** End of the last step. Only the loop's thread uses it. */
    private var stepEnd = Duration.ZERO

    /** Number of tokens generated since the engine was created. */
    val generatedTokens: Long get() = rate.total

    fun start() {
        // The loop ends when it is not the current thread, so the field is set before the thread runs.
        thread = Thread(::run, "standin-${configuration.name}-decode").apply { isDaemon = true }
        thread?.start()
    }

    /** Stops the loop and aborts all streams. */
    fun stop() {
        val stopped = thread
        val streams =
            synchronized(lock) {
                thread = null
                lock.notifyAll()
                (running + waiting).also {
                    running.clear()
                    waiting.clear()
                }
            }
        streams.forEach { it.sink.abort() }
        if (stopped !== Thread.currentThread()) stopped?.join()
    }

    fun submit(stream: DecodeStream) {
        val accepted =
            synchronized(lock) {
                lock.notifyAll()
                thread != null && waiting.add(stream)
            }
        if (accepted) report() else stream.sink.abort()
    }

    fun cancel(stream: DecodeStream) {
        stream.cancelled = true
        synchronized(lock) { if (waiting.remove(stream)) lock.notifyAll() }
    }

    /** Returns the running or waiting stream with [identifier]. */
    fun find(identifier: String): DecodeStream? =
        synchronized(lock) { (running + waiting).firstOrNull { it.identifier == identifier } }

    fun counts(): DecodeCounts = synchronized(lock) { DecodeCounts(running.size, waiting.size, rate.tokensPerSecond()) }

    private fun report() = onCounts(counts())

    private fun run() {
        stepEnd = clock.now()
        while (true) {
            val admitted = awaitWork() ?: return
            if (admitted.any { configuration.poisonMarker in it.prompt }) {
                onPoison()
                return
            }
            val batch = synchronized(lock) { running.toList() }
            // Steps that fall behind are made up for, but not by more than the bound.
            stepEnd = maxOf(stepEnd, clock.now() - MAXIMUM_LATENESS * clock.rate) + stepTime(batch.size, admitted)
            clock.sleepUntil(stepEnd)
            batch.forEach { advance(it) }
            synchronized(lock) { running.removeAll { it.finished || it.cancelled } }
            report()
        }
    }

    /** Waits for a running stream and returns the newly admitted ones, or null when the loop is stopped. */
    private fun awaitWork(): List<DecodeStream>? = synchronized(lock) {
        val admitted = mutableListOf<DecodeStream>()
        while (thread === Thread.currentThread()) {
            if (running.removeAll { it.cancelled }) report()
            while (running.size < configuration.maximumBatch && waiting.isNotEmpty()) {
                val stream = waiting.removeFirst()
                stream.firstTokenAt = clock.now() + faults.pauseBeforeFirstToken
                running.add(stream)
                admitted.add(stream)
            }
            if (running.isNotEmpty()) return admitted
            lock.wait()
            // An idle loop is not late, so the next steps have nothing to make up for.
            stepEnd = clock.now()
        }
        null
    }

    private fun stepTime(batch: Int, admitted: List<DecodeStream>): Duration {
        val prefillTokens = admitted.sumOf { if (it.importedCache) 0 else cache.prefill(it) }
        return configuration.stepTime + configuration.stepTimePerStream * batch +
            configuration.prefillTimePerToken * prefillTokens
    }

    private fun advance(stream: DecodeStream) {
        if (stream.cancelled || thread !== Thread.currentThread() || clock.now() < stream.firstTokenAt) return
        rate.add()
        stream.advance(versionOf(stream.model))
    }

    private companion object {
        private val MAXIMUM_LATENESS = 50.milliseconds
    }
}
