package org.zinniahoist.wire

import org.zinniahoist.model.Moment

/** Records when the most recent heartbeats of a link were sent. */
internal class SentHeartbeats {
    private val sendTimes = LinkedHashMap<Long, Moment>()

    @Synchronized
    fun add(sequence: Long, now: Moment) {
        sendTimes[sequence] = now
        if (sendTimes.size > RETAINED_HEARTBEATS) sendTimes.remove(sendTimes.keys.first())
    }

    @Synchronized
    operator fun get(sequence: Long): Moment? = sendTimes[sequence]

    private companion object {
        /** 64 heartbeats cover 32 s at the default interval; an attempt is refused if its echo is older than 5 s. */
        const val RETAINED_HEARTBEATS = 64
    }
}
