package org.zinniahoist.policy.duty

import org.junit.jupiter.api.Test
import org.zinniahoist.model.Moment
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class UsageReporterTest {
    private val reporter = UsageReporter(interval = 80.milliseconds)
    private var now = Moment.ZERO

    /** Answers the report of [window] and returns the pause until the next call. */
    private fun pauseAfter(window: Long, answer: DutyAnswer, unreported: Set<Long> = setOf(1)): Duration {
        reporter.onAnswer(window, answer, now)
        val start = now
        while (reporter.next(now, unreported) == null) now += 10.milliseconds
        return now - start
    }

    /** Guards against calls that burden a platform in trouble, or that stop because it was in trouble. */
    @Test
    fun `backs off while no answer arrives, for at most four seconds`() {
        val pauses = List(5) { pauseAfter(1, DutyAnswer.UNKNOWN) }
        expectThat(pauses)
            .containsExactly(500.milliseconds, 1.seconds, 2.seconds, 4.seconds, 4.seconds)
        expectThat(pauseAfter(1, DutyAnswer.THROTTLED)).isEqualTo(500.milliseconds)
    }

    /** Guards against reports that are all late because one of them is refused or an outage left many. */
    @Test
    fun `windows that have not been tried go first`() {
        expectThat(reporter.next(now, setOf(3, 1, 2))).isEqualTo(1)
        pauseAfter(1, DutyAnswer.REFUSED)
        expectThat(reporter.next(now, setOf(3, 1, 2))).isEqualTo(2)
    }

    /** Guards against a report that is sent again while the log has not recorded that it was accepted. */
    @Test
    fun `an accepted window is not reported again`() {
        reporter.onAnswer(1, DutyAnswer.ACCEPTED, now)
        now += 1.seconds
        expectThat(reporter.next(now, setOf(1))).isNull()
        expectThat(reporter.acceptedOf(setOf(1, 2))).containsExactly(1)
    }
}
