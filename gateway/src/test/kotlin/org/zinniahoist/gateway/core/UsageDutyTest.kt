package org.zinniahoist.gateway.core

import kotlinx.coroutines.CompletableDeferred
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class UsageDutyTest {
    private val fixture = UsageDutyFixture()
    private val first = fixture.Core()
    private val second = fixture.Core()
    private val firstWindow = fixture.windows.windowAt(UsageDutyFixture.START)

    private fun bodies() = fixture.calls.map { it.body }

    private fun report(offset: Int, requests: Int) =
        "${firstWindow + offset} " + if (requests == 0) "{}" else "{a=$requests}"

    /** Guards against windows without a report, with two reports, or with the counts of other windows. */
    @Test
    fun `reports each window once, also an empty one, in time`() {
        fixture.lead(first)
        fixture.pass(15.seconds, perSecond = 10)
        fixture.pass(15.seconds)
        expectThat(bodies()).containsExactly(
            // The first window has four whole seconds, the fourth one a request at its first moment.
            report(0, requests = 120),
            report(1, requests = 150),
            report(2, requests = 150),
            report(3, requests = 30),
        )
        expectThat(fixture.machine.usage.unreported).isEmpty()
    }

    /** Guards against counts that are lost with a leader, or reported by two leaders differently. */
    @Test
    fun `a change of leader loses no count and reports no window twice`() {
        fixture.lead(first)
        fixture.pass(13.seconds, perSecond = 10)
        fixture.loseLeader()
        fixture.pass(2.seconds, perSecond = 10)
        fixture.lead(second)
        fixture.pass(25.seconds, perSecond = 10)
        expectThat(bodies()).containsExactly(
            report(0, requests = 120),
            *(1..5).map { report(it, requests = 150) }.toTypedArray(),
        )
    }

    /** Guards against counts that are lost with a leader because their entries have nothing new to report. */
    @Test
    fun `a change of leader loses no count of entries that have become quiet`() {
        fixture.lead(first)
        fixture.pass(13.seconds, perSecond = 10)
        fixture.loseLeader()
        fixture.pass(2.seconds)
        fixture.lead(second)
        fixture.pass(15.seconds)
        expectThat(bodies()).containsExactly(
            report(0, requests = 120),
            report(1, requests = 150),
            report(2, requests = 120),
            report(3, requests = 0),
        )
    }

    /** Guards against a new leader that sends while its predecessor may still send. */
    @Test
    fun `a new leader sends nothing for a lease`() {
        val fixture = UsageDutyFixture(lease = 8.seconds)
        fixture.lead(fixture.Core())
        fixture.pass(15.seconds)
        fixture.lead(fixture.Core())
        val sent = fixture.calls.size
        fixture.pass(7_900.milliseconds)
        expectThat(fixture.calls).hasSize(sent)
        fixture.pass(1.seconds)
        expectThat(fixture.calls.size).isGreaterThan(sent)
    }

    /** Guards against a window that a new leader closes before the entries have sent their counts again. */
    @Test
    fun `a new leader closes no window in its first three seconds`() {
        val fixture = UsageDutyFixture(lease = 500.milliseconds)
        fixture.lead(fixture.Core())
        fixture.pass(10.seconds, perSecond = 10)
        fixture.lead(fixture.Core())
        fixture.pass(2_900.milliseconds, perSecond = 10)
        expectThat(fixture.machine.usage.newestClosed).isEqualTo(null)
        fixture.pass(200.milliseconds)
        expectThat(fixture.machine.usage.newestClosed).isEqualTo(firstWindow)
    }

    /** Guards against a repeat that differs from a report that the platform may have accepted. */
    @Test
    fun `repeats a report with the same bytes, also under another leader`() {
        fixture.answers += List(3) { null }
        fixture.lead(first)
        fixture.pass(13.seconds, perSecond = 10)
        fixture.lead(second)
        fixture.pass(5.seconds, perSecond = 10)
        expectThat(bodies().take(4).distinct()).containsExactly(report(0, requests = 120))
        expectThat(fixture.calls[0].fence).isEqualTo(1)
        expectThat(fixture.calls[3].fence).isGreaterThan(1)
    }

    /** Guards against a refused token that is used again, and against reports that end with it. */
    @Test
    fun `draws a new token after the platform has refused one`() {
        fixture.answers += 409
        fixture.lead(first)
        fixture.pass(12.seconds)
        expectThat(fixture.calls).hasSize(2)
        expectThat(fixture.calls[1].fence).isGreaterThan(fixture.calls[0].fence)
        fixture.pass(5.seconds)
        expectThat(fixture.calls.last().fence).isEqualTo(fixture.calls[1].fence)
    }

    /** Guards against a former leader that was paused and acts on its authority when it goes on. */
    @Test
    fun `a former leader that wakes up sends nothing`() {
        fixture.lead(first)
        fixture.pass(15.seconds)
        first.isFrozen = true
        fixture.lead(second)
        fixture.answers += List(20) { null }
        fixture.pass(10.seconds)
        val sent = fixture.calls.size
        expectThat(fixture.machine.usage.unreported.size).isGreaterThan(0)
        first.tickAsLeader()
        expectThat(fixture.calls).hasSize(sent)
    }

    /** Guards against calls of one duty that overtake each other, and that burden a platform that is slow. */
    @Test
    fun `waits for the end of a call before the next`() {
        val answered = CompletableDeferred<Unit>()
        fixture.beforeAnswer = { answered.await() }
        fixture.lead(first)
        fixture.pass(30.seconds)
        expectThat(fixture.calls).hasSize(1)
        answered.complete(Unit)
        fixture.pass(1.seconds)
        expectThat(fixture.calls.map { it.window }).containsExactly((firstWindow..firstWindow + 4).toList())
    }

    /** Guards against state that grows without bound while the platform accepts nothing. */
    @Test
    fun `drops windows that were not accepted within two minutes`() {
        fixture.answers += List(1_000) { null }
        fixture.lead(first)
        fixture.pass(300.seconds, perSecond = 1)
        expectThat(fixture.machine.usage.unreported.size).isLessThanOrEqualTo(24)
    }

    /** Guards against windows that a leader closes early because its wall clock has jumped. */
    @Test
    fun `a jump of the leader's clock closes no window early`() {
        fixture.lead(first)
        fixture.pass(8.seconds, perSecond = 10)
        fixture.wallError = 6.seconds
        fixture.pass(2.seconds, perSecond = 10)
        expectThat(fixture.machine.usage.newestClosed).isEqualTo(null)
        fixture.wallError = 0.seconds
        fixture.pass(2.seconds, perSecond = 10)
        expectThat(bodies()).containsExactly(report(0, requests = 120))
    }
}
