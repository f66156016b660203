package org.zinniahoist.gateway.core

import com.linecorp.armeria.common.HttpStatus
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests that an item fails only as often as its route allows, whatever happens to its job and leader meanwhile. */
internal class FailedRunLimitTest {
    private val fixture = EngineFixture()
    private val route = EngineFixture.route()

    @AfterEach
    fun close() = fixture.close()

    private fun begin() {
        fixture.runsFail = true
        fixture.routes(route)
        fixture.activate()
        fixture.submit("j", EngineFixture.item("a"))
    }

    private fun expectGivenUp() {
        expectThat(fixture.eventually { fixture.proposed.isNotEmpty() }).isTrue()
        expectThat(fixture.proposed.single().isCompleted).isFalse()
    }

    /** Guards against an item that may fail as often again after each change of its route. */
    @Test
    fun `a change of the route does not reset the failed runs of an item`() {
        begin()
        repeat(route.maximumAttempts) { earlier ->
            expectThat(fixture.eventually { fixture.recordedFailures("j", "a").runs > earlier }).isTrue()
            fixture.routes(route.copy(shares = EngineFixture.NO_UPSTREAMS))
            fixture.routes(route)
        }
        expectGivenUp()
        expectThat(fixture.requestedItems).hasSize(route.maximumAttempts)
    }

    /** Guards against an item whose failed runs are forgotten with each leader that is lost. */
    @Test
    fun `a change of the leader does not reset the failed runs of an item`() {
        begin()
        repeat(route.maximumAttempts) { earlier ->
            expectThat(fixture.eventually { fixture.recordedFailures("j", "a").runs > earlier }).isTrue()
            fixture.activate()
        }
        expectGivenUp()
        expectThat(fixture.requestedItems).hasSize(route.maximumAttempts)
    }

    /** Guards against reward calls whose failures are forgotten with each leader that is lost. */
    @Test
    fun `a change of the leader does not reset the failed reward calls of an item`() {
        fixture.scorer = { RewardServiceFixture.failed(it, HttpStatus.INTERNAL_SERVER_ERROR) }
        fixture.routes(route, RewardServiceFixture.scoreRoute())
        fixture.activate()
        fixture.submit("j", RewardServiceFixture.rewardedItem("a"))
        val maximum = RewardServiceFixture.scoreRoute().maximumAttempts
        repeat(maximum) { earlier ->
            expectThat(fixture.eventually { fixture.recordedFailures("j", "a").rewardCalls > earlier }).isTrue()
            fixture.activate()
        }
        expectGivenUp()
        expectThat(fixture.rewardCalls).hasSize(maximum)
    }

    /** Guards against a run that begins while a lost leader could still forget the failure of the one before. */
    @Test
    fun `an item does not run again before its failed run is recorded`() {
        val commit = fixture.failureLog
        val proposals = AtomicInteger()
        fixture.failureLog = FailureLog { _, _, _ -> proposals.incrementAndGet() }
        begin()
        expectThat(fixture.eventually { proposals.get() == 1 }).isTrue()
        fixture.routes(route.copy(shares = EngineFixture.NO_UPSTREAMS))
        fixture.routes(route)
        fixture.pass(1_200.milliseconds)
        expectThat(fixture.requestedItems).hasSize(1)
        fixture.failureLog = commit
        fixture.advance += 5.seconds
        expectThat(fixture.eventually { fixture.requestedItems.size > 1 }).isTrue()
    }

    /** Guards against an item that runs without end because its trainer submits it in one job after the other. */
    @Test
    fun `an item that is submitted again and again is given up without a run in the end`() {
        begin()
        for (job in 1..SUBMISSIONS) {
            expectThat(fixture.eventually { fixture.proposed.size == job }).isTrue()
            fixture.submit("j$job", EngineFixture.item("a"))
        }
        expectThat(fixture.eventually { fixture.proposed.size == SUBMISSIONS + 1 }).isTrue()
        expectThat(fixture.requestedItems).hasSize(MAXIMUM_SUBMISSIONS * route.maximumAttempts)
    }

    private companion object {
        const val SUBMISSIONS = 5

        /** Number of submissions of an item that may each have the failed runs that its route allows. */
        const val MAXIMUM_SUBMISSIONS = 3
    }
}
