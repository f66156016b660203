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

class PeerSilenceTest {
    private val silence = PeerSilence(limit = 1_000.milliseconds, start = Moment.ZERO)

    private fun check(milliseconds: Int): Boolean = silence.check(Moment.ZERO + milliseconds.milliseconds)

    private fun frame(milliseconds: Int) = silence.onProgress(Moment.ZERO + milliseconds.milliseconds)

    @Test
    fun `a peer is silent once the limit has passed without a frame`() {
        for (time in 50..950 step 50) expectThat(check(time)).isFalse()
        expectThat(silence.check(Moment.ZERO + 1_000.milliseconds - 1.nanoseconds)).isFalse()
        expectThat(check(1_000)).isTrue()
    }

    @Test
    fun `the limit counts from the last frame, not from the check before it`() {
        check(400)
        frame(700)
        for (time in 800..1_600 step 400) expectThat(check(time)).isFalse()
        expectThat(check(1_699)).isFalse()
        expectThat(check(1_700)).isTrue()
    }

    /** Guards against links that a process breaks after a pause, before it reads what its peers have sent. */
    @Test
    fun `a pause between two checks counts half of the limit`() {
        val end = Moment.ZERO + 1.hours
        expectThat(silence.check(end)).isFalse()
        expectThat(silence.check(end + 499.milliseconds)).isFalse()
        expectThat(silence.check(end + 500.milliseconds)).isTrue()
    }

    /** Guards against time that counts twice, or backwards, when a frame is read while the link is checked. */
    @Test
    fun `a frame that is read during a check ends the silence`() {
        check(500)
        frame(901)
        expectThat(check(900)).isFalse()
        expectThat(check(1_400)).isFalse()
        expectThat(check(1_900)).isFalse()
        expectThat(check(1_901)).isTrue()
    }

    @Test
    fun `time in which a message is handled does not count`() {
        silence.onHandlingStart()
        for (time in 500..5_000 step 500) expectThat(check(time)).isFalse()
        silence.onHandlingEnd(Moment.ZERO + 5_000.milliseconds)
        expectThat(check(5_500)).isFalse()
        expectThat(check(5_999)).isFalse()
        expectThat(check(6_000)).isTrue()
    }

    /** Guards against links to live peers that a process breaks when it is late for several checks in a row. */
    @ParameterizedTest
    @ValueSource(ints = [500, 1_000, 2_000])
    fun `a process that is late again and again takes no peer for silent before a check comes in time`(late: Int) {
        val silence = PeerSilence(LIMIT, Moment.ZERO, onTime = 400.milliseconds)
        var now = Moment.ZERO
        repeat(3) {
            now += late.milliseconds
            expectThat(silence.check(now)).isFalse()
        }
        silence.onProgress(now)
        repeat(7) {
            now += 200.milliseconds
            expectThat(silence.check(now)).isFalse()
        }
        expectThat(silence.check(now + 200.milliseconds)).isTrue()
    }

    /** Guards against a peer that is gone and is never found because all checks are late. */
    @Test
    fun `a process that is always late finds a silent peer after twice the limit`() {
        val silence = PeerSilence(LIMIT, Moment.ZERO, onTime = 400.milliseconds)
        val found = (1..10).first { silence.check(Moment.ZERO + 500.milliseconds * it) }
        expectThat(found).isEqualTo(6)
    }

    private companion object {
        val LIMIT = 1_500.milliseconds
    }
}
