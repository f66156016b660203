package org.zinniahoist.policy.duty

import org.junit.jupiter.api.Test
import org.zinniahoist.model.Moment
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.seconds

/** Tests the clock and the windows of the usage reports. */
internal class UsageTimeTest {
    private val clock = SteadyWallClock(Moment.ZERO, START)
    private val windows = UsageWindows(5.seconds, 10.seconds)
    private var passed = 0

    /** Passes [seconds] of the monotonic clock while the wall clock is wrong by [error] milliseconds. */
    private fun pass(seconds: Int, error: Long): Long {
        repeat(seconds) {
            passed++
            clock.observe(Moment.ZERO + passed.seconds, START + passed * 1_000 + error)
        }
        return clock.at(Moment.ZERO + passed.seconds) - START - passed * 1_000
    }

    /** Guards against counts in the wrong windows after a jump of the wall clock. */
    @Test
    fun `a jump that is undone within ten seconds has no effect`() {
        expectThat(pass(9, error = 3_000)).isEqualTo(0)
        expectThat(pass(9, error = -2_000)).isEqualTo(0)
        expectThat(pass(5, error = 0)).isEqualTo(0)
        expectThat(pass(9, error = 3_000)).isEqualTo(0)
    }

    /** Guards against a process that never corrects a clock that was wrong at its start, or stood still. */
    @Test
    fun `a difference that lasts is adopted`() {
        expectThat(pass(12, error = 3_000)).isEqualTo(3_000)
        expectThat(pass(60, error = 3_400)).isEqualTo(3_000)
    }

    /** Guards against windows that differ from those of the platform. */
    @Test
    fun `windows are counted from the start of 1970`() {
        expectThat(windows.windowAt(START)).isEqualTo(353_445_120)
        expectThat(windows.windowAt(START + 4_999)).isEqualTo(353_445_120)
        expectThat(windows.windowAt(START - 1)).isEqualTo(353_445_119)
    }

    /** Guards against windows that are closed before the entries have reported them, out of order or not at all. */
    @Test
    fun `windows close in order, six seconds after their end`() {
        val first = windows.windowAt(START)
        expectThat(windows.dueForClosing(START + 10_999, newestClosed = null, first)).isNull()
        expectThat(windows.dueForClosing(START + 11_000, newestClosed = null, first)).isEqualTo(first)
        expectThat(windows.dueForClosing(START + 15_999, newestClosed = first, first)).isNull()
        expectThat(windows.dueForClosing(START + 60_000, newestClosed = first, first)).isEqualTo(first + 1)
    }

    /** Guards against a new leader that reports each window of a night in which the group was down. */
    @Test
    fun `windows that ended more than two minutes ago are left out`() {
        val first = windows.windowAt(START)
        expectThat(windows.dueForClosing(START + 3_600_000, newestClosed = first, first))
            .isEqualTo(windows.windowAt(START + 3_600_000 - 120_000))
    }

    private companion object {
        const val START = 1_767_225_600_000L
    }
}
