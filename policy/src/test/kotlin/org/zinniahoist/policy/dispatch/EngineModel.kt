package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Reaction of an engine whose memory is exceeded. */
internal enum class MemoryFault { PREEMPT, CRASH }

/** Request on an [EngineModel], which still has to read [unread] tokens before its next event. */
internal class EngineRequest(
    val run: Long,
    val item: LoadItem,
    var events: Int,
) {
    var unread = item.prompt + events
    val held: Int get() = item.prompt + events
}

/** Output of one iteration: the requests with a new event, and those that a crash broke. */
internal class Iteration(
    val events: List<EngineRequest>,
    val broken: List<EngineRequest> = emptyList(),
)

/**
 * Models an engine. Each iteration emits one event of each request whose prompt is read, and reads one chunk of the
 * first prompt that is not. The iteration takes longer with each request, with a chunk, and while the engine is slow.
 */
internal class EngineModel(
    private val memory: Int,
    private val fault: MemoryFault,
    private val slowness: (Moment) -> Double,
) {
    val requests = ArrayList<EngineRequest>()
    var nextAt = Moment(0)
    var crashes = 0
    var preemptions = 0

    fun iterate(now: Moment): Iteration {
        val emitting = requests.filter { it.unread == 0 }
        val reading = requests.firstOrNull { it.unread > 0 }
        reading?.let { it.unread -= minOf(CHUNK, it.unread) }
        emitting.forEach { it.events++ }
        nextAt = now + duration(reading != null) * slowness(now)
        if (requests.sumOf { it.held } <= memory) return Iteration(emitting)
        if (fault == MemoryFault.CRASH) {
            crashes++
            nextAt = now + RESTART
            return Iteration(emptyList(), requests.toList().also { requests.clear() })
        }
        while (requests.size > 1 && requests.filter { it.unread == 0 }.sumOf { it.held } > memory) preemptNewest()
        return Iteration(emitting)
    }

    private fun preemptNewest() {
        val newest = requests.last { it.unread == 0 }
        newest.unread = newest.held
        preemptions++
    }

    private fun duration(hasChunk: Boolean): Duration =
        (EVENT_MILLISECONDS + requests.size * EVENT_MILLISECONDS_PER_REQUEST).milliseconds +
            if (hasChunk) CHUNK_DURATION else Duration.ZERO

    private companion object {
        const val CHUNK = 512
        val CHUNK_DURATION = 25.milliseconds
        val RESTART = 1_000.milliseconds
        const val EVENT_MILLISECONDS = 20.0
        const val EVENT_MILLISECONDS_PER_REQUEST = 1.0
    }
}
