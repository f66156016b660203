package org.zinniahoist.wire

import org.zinniahoist.model.Moment

/** Times of the last heartbeats that were sent on a link. */
internal class SentHeartbeats {
    private val moments = LinkedHashMap<Long, Moment>()

    @Synchronized
    fun add(sequence: Long, now: Moment) {
        moments[sequence] = now
        if (moments.size > RETAINED) moments.remove(moments.keys.first())
    }

    @Synchronized
    operator fun get(sequence: Long): Moment? = moments[sequence]

    private companion object {
        /** 64 heartbeats cover 32 s; a start is refused if its echo is older than 5 s. */
        const val RETAINED = 64
    }
}
