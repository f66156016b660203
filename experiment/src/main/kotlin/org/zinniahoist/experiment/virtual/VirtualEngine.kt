package org.zinniahoist.experiment.virtual

import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** An attempt on an engine. */
internal class EngineAttempt(
    val prefix: Long,
    val promptTokens: Int,
    val outputTokens: Int,
    val onFirstToken: () -> Unit,
    val onDone: () -> Unit,
) {
    var decoding = false
    var ended = false
    var startProgress = 0.0
}

/**
 * An engine with continuous batching: prompts are computed one after the other in arrival order, and all attempts of
 * the batch get one token a step. A step takes longer with more attempts. The prefix cache is limited.
 */
internal class VirtualEngine(private val loop: EventLoop) {
    private val waiting = ArrayDeque<EngineAttempt>()
    private val batch = PriorityQueue<EngineAttempt>(compareBy { it.startProgress + it.outputTokens })
    private val cache = object : LinkedHashMap<Long, Unit>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Long, Unit>): Boolean = size > CACHED_PREFIXES
    }
    private var prefilling: EngineAttempt? = null
    private var progress = 0.0
    private var updatedAt = loop.now
    private var pauses = 0
    private var generation = 0

    var alive = true
        private set
    var tokensProduced = 0.0
        private set
    val starting: Int get() = waiting.size + if (prefilling == null) 0 else 1
    val running: Int get() = batch.size + starting

    /** Time of one token of each attempt. */
    val stepTime: Duration get() = BASE_STEP + STEP_PER_ATTEMPT * batch.size

    fun submit(attempt: EngineAttempt) {
        waiting.addLast(attempt)
        prefillNext()
    }

    fun tokensOf(attempt: EngineAttempt): Int {
        advance()
        return if (attempt.decoding) {
            (progress - attempt.startProgress).toInt().coerceAtMost(
                attempt.outputTokens,
            )
        } else {
            0
        }
    }

    /** Ends an attempt and returns the tokens that it has produced. */
    fun cancel(attempt: EngineAttempt): Int {
        val tokens = tokensOf(attempt)
        attempt.ended = true
        waiting.remove(attempt)
        batch.remove(attempt)
        if (prefilling === attempt) prefilling = null
        prefillNext()
        scheduleNextEnd()
        return tokens
    }

    fun pause(time: Duration) {
        advance()
        pauses += 1
        scheduleNextEnd()
        loop.after(time) {
            advance()
            pauses -= 1
            prefillNext()
            scheduleNextEnd()
        }
    }

    fun crash(downtime: Duration) {
        advance()
        alive = false
        (waiting + batch).forEach { it.ended = true }
        prefilling?.ended = true
        prefilling = null
        waiting.clear()
        batch.clear()
        cache.clear()
        generation += 1
        loop.after(downtime) { alive = true }
    }

    private fun prefillNext() {
        if (prefilling != null || pauses > 0 || batch.size >= MAXIMUM_BATCH) return
        val next = waiting.removeFirstOrNull() ?: return
        prefilling = next
        val cached = cache.put(next.prefix, Unit) != null
        val time = if (cached) CACHED_PREFILL else (next.promptTokens / PREFILL_TOKENS_PER_SECOND).seconds
        loop.after(time) { decode(next) }
    }

    private fun decode(attempt: EngineAttempt) {
        if (attempt.ended) return
        if (pauses > 0) return loop.after(PAUSE_CHECK) { decode(attempt) }
        prefilling = null
        advance()
        attempt.decoding = true
        attempt.startProgress = progress
        batch.add(attempt)
        loop.after(stepTime) { if (!attempt.ended || attempt.outputTokens <= 1) attempt.onFirstToken() }
        scheduleNextEnd()
        prefillNext()
    }

    private fun rate(): Double = if (pauses > 0 || batch.isEmpty()) 0.0 else 1 / stepTime.toDouble(DurationUnit.SECONDS)

    private fun advance() {
        val tokens = rate() * (loop.now - updatedAt).toDouble(DurationUnit.SECONDS)
        progress += tokens
        tokensProduced += tokens * batch.size
        updatedAt = loop.now
    }

    private fun scheduleNextEnd() {
        val scheduled = ++generation
        val next = batch.peek() ?: return
        val rate = rate()
        if (rate == 0.0) return
        val tokens = next.startProgress + next.outputTokens - progress
        loop.after((tokens / rate).seconds) { if (scheduled == generation) end() }
    }

    private fun end() {
        advance()
        val done = ArrayList<EngineAttempt>()
        while (batch.isNotEmpty() && batch.peek().let { it.startProgress + it.outputTokens } <= progress + ROUNDING) {
            done.add(batch.remove())
        }
        done.forEach { it.ended = true }
        prefillNext()
        scheduleNextEnd()
        done.forEach { it.onDone() }
    }

    companion object {
        const val MAXIMUM_BATCH = 64
        private const val CACHED_PREFIXES = 24
        private const val PREFILL_TOKENS_PER_SECOND = 10_000.0
        private const val ROUNDING = 1e-3
        private val BASE_STEP = 8.milliseconds
        private val STEP_PER_ATTEMPT = 250.microseconds
        private val CACHED_PREFILL = 5.milliseconds
        private val PAUSE_CHECK = 50.milliseconds
    }
}
