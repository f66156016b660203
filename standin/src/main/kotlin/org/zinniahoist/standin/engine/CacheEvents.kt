package org.zinniahoist.standin.engine

import kotlinx.serialization.Serializable
import org.zinniahoist.standin.StandInClock
import kotlin.time.Duration

/** Change of the prefix cache. A gap in [sequence] means that events were lost. */
@Serializable
public data class CacheEvent(
    public val sequence: Long,
    public val kind: String,
    public val block: Long,
)

/** Answer of `GET /cache/events`. */
@Serializable
public data class CacheEventPage(
    public val events: List<CacheEvent>,
    public val next: Long,
)

/** Recent cache events, readable after [lag]; every [lossEvery]-th event is lost (none if 0). */
internal class CacheEvents(
    private val clock: StandInClock,
    private val lag: Duration,
    private val lossEvery: Int,
) {
    private val events = ArrayDeque<Pair<Duration, CacheEvent>>()
    private var sequence = 0L

    @Synchronized
    fun record(kind: String, block: Long) {
        sequence += 1
        if (lossEvery > 0 && sequence % lossEvery == 0L) return
        events.addLast(clock.now() to CacheEvent(sequence, kind, block))
        if (events.size > MAXIMUM_EVENTS) events.removeFirst()
    }

    /** Returns the readable events with a sequence number over [after]. */
    @Synchronized
    fun after(after: Long): CacheEventPage {
        val horizon = clock.now() - lag
        val readable = events.filter { (time, event) -> time <= horizon && event.sequence > after }.map { it.second }
        return CacheEventPage(readable, readable.lastOrNull()?.sequence ?: after)
    }

    private companion object {
        private const val MAXIMUM_EVENTS = 10_000
    }
}
