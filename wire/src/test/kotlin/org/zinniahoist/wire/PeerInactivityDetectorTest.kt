package org.zinniahoist.wire

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.zinniahoist.model.Moment
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

class PeerInactivityDetectorTest {
    private val detector = PeerInactivityDetector(limit = 1_000.milliseconds, start = Moment.ZERO)

    private fun check(milliseconds: Int): Boolean = detector.check(Moment.ZERO + milliseconds.milliseconds)

    private fun readFrameAt(milliseconds: Int) = detector.onProgress(Moment.ZERO + milliseconds.milliseconds)

    @Test
    fun `a peer is inactive once the limit has passed without a frame`() {
        for (time in 50..950 step 50) expectThat(check(time)).isFalse()
        expectThat(detector.check(Moment.ZERO + 1_000.milliseconds - 1.nanoseconds)).isFalse()
        expectThat(check(1_000)).isTrue()
    }

    @Test
    fun `the limit is measured from the last frame, not from the preceding check`() {
        check(400)
        readFrameAt(700)
        for (time in 800..1_600 step 400) expectThat(check(time)).isFalse()
        expectThat(check(1_699)).isFalse()
        expectThat(check(1_700)).isTrue()
    }

    /** Guards against closing links to live peers after a stall, before this process reads the buffered frames. */
    @Test
    fun `the time between two checks is capped at half of the limit`() {
        val end = Moment.ZERO + 1.hours
        expectThat(detector.check(end)).isFalse()
        expectThat(detector.check(end + 499.milliseconds)).isFalse()
        expectThat(detector.check(end + 500.milliseconds)).isTrue()
    }

    /** Guards against counting time twice or negatively when a frame is read during a check. */
    @Test
    fun `a frame that is read during a check resets the inactive time`() {
        check(500)
        readFrameAt(901)
        expectThat(check(900)).isFalse()
        expectThat(check(1_400)).isFalse()
        expectThat(check(1_900)).isFalse()
        expectThat(check(1_901)).isTrue()
    }

    @Test
    fun `the time in which the handler runs is not counted`() {
        detector.onHandlingStart()
        for (time in 500..5_000 step 500) expectThat(check(time)).isFalse()
        detector.onHandlingEnd(Moment.ZERO + 5_000.milliseconds)
        expectThat(check(5_500)).isFalse()
        expectThat(check(5_999)).isFalse()
        expectThat(check(6_000)).isTrue()
    }

    /** Guards against closing links to live peers when several consecutive checks of this process are late. */
    @ParameterizedTest
    @ValueSource(ints = [500, 1_000, 2_000])
    fun `consecutive late checks do not report a live peer as inactive`(delayMilliseconds: Int) {
        val detector = PeerInactivityDetector(LIMIT, Moment.ZERO, lateCheckThreshold = 400.milliseconds)
        var now = Moment.ZERO
        repeat(3) {
            now += delayMilliseconds.milliseconds
            expectThat(detector.check(now)).isFalse()
        }
        detector.onProgress(now)
        repeat(7) {
            now += 200.milliseconds
            expectThat(detector.check(now)).isFalse()
        }
        expectThat(detector.check(now + 200.milliseconds)).isTrue()
    }

    /** Guards against never detecting a failed peer because all checks are late. */
    @Test
    fun `a process whose checks are all late detects an inactive peer after twice the limit`() {
        val detector = PeerInactivityDetector(LIMIT, Moment.ZERO, lateCheckThreshold = 400.milliseconds)
        val detectingCheck = (1..10).first { detector.check(Moment.ZERO + 500.milliseconds * it) }
        expectThat(detectingCheck).isEqualTo(6)
    }

    private companion object {
        val LIMIT = 1_500.milliseconds
    }
}
