package org.zinniahoist.policy.connections

import org.junit.jupiter.api.Test
import org.zinniahoist.model.Moment
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.seconds

internal class ConnectionWatchTest {
    private val watch = ConnectionWatch(ConnectionLimits(maximumConnections = 1), Moment.ZERO)

    private fun reasonAt(seconds: Int, pending: Long = 0, written: Long = 0) =
        watch.closingReason(OutputProgress(pending, written), at(seconds))

    private fun at(seconds: Int) = Moment.ZERO + seconds.seconds

    /** Guards against responses that are held for clients that never read them. */
    @Test
    fun `a connection is closed once its client has read nothing for the time-out`() {
        watch.onBytes(isHeadIncomplete = false, at(0))
        expectThat(reasonAt(seconds = 5, pending = 100)).isNull()
        expectThat(reasonAt(seconds = 19, pending = 100)).isNull()
        expectThat(reasonAt(seconds = 20, pending = 100)).isEqualTo(ClosingReason.UNREAD_RESPONSE)
    }

    /** Guards against closing the connection of a client that reads slowly. */
    @Test
    fun `a client that reads at all keeps its connection`() {
        watch.onBytes(isHeadIncomplete = false, at(0))
        repeat(20) { expectThat(reasonAt(seconds = 14 * it, pending = 100, written = it.toLong())).isNull() }
        expectThat(reasonAt(seconds = 400)).isNull()
    }

    /** Guards against heads that arrive byte by byte and never end. */
    @Test
    fun `a connection is closed once a head has been incomplete for the time-out`() {
        repeat(15) {
            watch.onBytes(isHeadIncomplete = true, at(100 + it))
            expectThat(reasonAt(seconds = 100 + it)).isNull()
        }
        expectThat(reasonAt(seconds = 115)).isEqualTo(ClosingReason.PARTIAL_HEAD)
        watch.onBytes(isHeadIncomplete = false, at(115))
        expectThat(reasonAt(seconds = 200)).isNull()
    }

    /** Guards against connections without any request that stay open forever. */
    @Test
    fun `a connection without a first byte is closed`() {
        expectThat(reasonAt(seconds = 59)).isNull()
        expectThat(reasonAt(seconds = 60)).isEqualTo(ClosingReason.NO_REQUEST)
    }
}
