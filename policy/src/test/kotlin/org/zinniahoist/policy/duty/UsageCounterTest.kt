package org.zinniahoist.policy.duty

import org.junit.jupiter.api.Test
import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.WorkspaceName
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.seconds

internal class UsageCounterTest {
    private val windows = UsageWindows(5.seconds, 10.seconds)
    private val counter = UsageCounter(windows)
    private val aggregator = UsageAggregator()

    private fun report(wall: Long = 11_000, term: Long = 1) = counter.pendingReport(wall, term)

    /** Guards against entries that load the leader with reports that have nothing new. */
    @Test
    fun `reports only after a change`() {
        expectThat(report()).isNull()
        counter.add(A, 10_000)
        val first = checkNotNull(report())
        counter.add(A, 10_500)
        counter.onAccepted(first, term = 1, closed = null)
        val second = checkNotNull(report())
        expectThat(second.windows).isEqualTo(mapOf(2L to mapOf(A to 2L)))
        counter.onAccepted(second, term = 1, closed = null)
        expectThat(report()).isNull()
    }

    /** Guards against counts that are lost with the leader that received them. */
    @Test
    fun `reports again to the leader of a later term, even if nothing changed`() {
        counter.add(A, 10_000)
        counter.onAccepted(checkNotNull(report()), term = 1, closed = null)
        expectThat(report(term = 2)).isNotNull()
    }

    /** Guards against memory that grows while an entry has lost the service group, and against counts of no use. */
    @Test
    fun `keeps no counts of closed windows or for longer than a minute`() {
        counter.add(A, 10_000)
        counter.add(A, 15_000)
        counter.onAccepted(checkNotNull(report()), term = 1, closed = 2)
        expectThat(report(term = 2)?.windows?.keys).isEqualTo(setOf(3L))
        expectThat(counter.add(A, 14_999)).isFalse()
        expectThat(report(wall = 80_000, term = 2)).isNull()
    }

    /** Guards against requests that count twice, or not at all, because a report was repeated or overtaken. */
    @Test
    fun `repeated and overtaken reports do not change the sum`() {
        val newest = mapOf(2L to mapOf(A to 7L, B to 1L))
        aggregator.onReport(1, Incarnation(1), newest, closed = null)
        aggregator.onReport(1, Incarnation(1), newest, closed = null)
        aggregator.onReport(1, Incarnation(1), mapOf(2L to mapOf(A to 3L)), closed = null)
        aggregator.onReport(1, Incarnation(2), mapOf(2L to mapOf(A to 5L), 1L to mapOf(A to 9L)), closed = 1)
        expectThat(aggregator.counts(2)).isEqualTo(mapOf(A to 12L, B to 1L))
        expectThat(aggregator.oldestWindow()).isEqualTo(2)
    }

    /** Guards against a leader that adds counts which it received in an earlier term and which are out of date. */
    @Test
    fun `a new term begins without counts`() {
        aggregator.onReport(1, Incarnation(1), mapOf(2L to mapOf(A to 3L)), closed = null)
        aggregator.lead(2)
        aggregator.onReport(1, Incarnation(1), mapOf(2L to mapOf(A to 3L)), closed = null)
        expectThat(aggregator.counts(2)).isEqualTo(emptyMap())
    }

    private companion object {
        val A = WorkspaceName("a")
        val B = WorkspaceName("b")
    }
}
