package org.zinniahoist.gateway.link

import org.junit.jupiter.api.Test
import org.zinniahoist.model.Moment
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class SilenceDetectorTest {
    private var now = Moment.ZERO
    private val detector = SilenceDetector(700.milliseconds, now, received = 5)

    private fun checkAfter(count: Int, received: Long): Boolean = (1..count).any {
        now += 100.milliseconds
        detector.check(now, received)
    }

    /** Guards against an entry that keeps waiting for a frozen leader. */
    @Test
    fun `a replica that sends nothing is silent`() {
        expectThat(checkAfter(6, received = 5)).isFalse()
        expectThat(checkAfter(1, received = 5)).isTrue()
    }

    /** Guards against an entry that retries a call to a slow leader while the requested page is arriving. */
    @Test
    fun `a replica that sends is not silent`() {
        repeat(20) { expectThat(checkAfter(6, received = 6L + it)).isFalse() }
    }

    /** Guards against an entry that mistakes its own stall for silence of the leader. */
    @Test
    fun `a process that has stalled checks again before it abandons a call`() {
        now += 5.seconds
        expectThat(detector.check(now, receivedNow = 5)).isFalse()
        expectThat(checkAfter(4, received = 5)).isFalse()
        expectThat(checkAfter(1, received = 5)).isTrue()
    }
}
