package org.zinniahoist.gateway.link

import org.junit.jupiter.api.Test
import org.zinniahoist.model.Moment
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class AnswerSilenceTest {
    private var now = Moment.ZERO
    private val silence = AnswerSilence(700.milliseconds, now, received = 5)

    private fun checkAfter(count: Int, received: Long): Boolean = (1..count).any {
        now += 100.milliseconds
        silence.check(now, received)
    }

    /** Guards against an entry that waits for a leader that is frozen. */
    @Test
    fun `a replica that sends nothing is silent`() {
        expectThat(checkAfter(6, received = 5)).isFalse()
        expectThat(checkAfter(1, received = 5)).isTrue()
    }

    /** Guards against an entry that calls a late leader again while the page that it asked for arrives. */
    @Test
    fun `a replica that sends is not silent`() {
        repeat(20) { expectThat(checkAfter(6, received = 6L + it)).isFalse() }
    }

    /** Guards against an entry that takes its own delay for the silence of the leader. */
    @Test
    fun `a process that was late looks again before it gives up`() {
        now += 5.seconds
        expectThat(silence.check(now, receivedNow = 5)).isFalse()
        expectThat(checkAfter(4, received = 5)).isFalse()
        expectThat(checkAfter(1, received = 5)).isTrue()
    }
}
