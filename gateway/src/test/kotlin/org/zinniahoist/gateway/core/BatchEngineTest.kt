package org.zinniahoist.gateway.core

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.zinniahoist.policy.routes.RouteKind
import org.zinniahoist.state.service.HeaderField
import org.zinniahoist.state.service.JobIdentifier
import org.zinniahoist.state.service.ServiceCommand
import org.zinniahoist.wire.ServiceReply
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class BatchEngineTest {
    private val fixture = EngineFixture()

    @AfterEach
    fun close() = fixture.close()

    /** Guards against an item that has neither a run nor a result, so that its trainer waits forever. */
    @Test
    fun `re-runs an item whose result was lost in an earlier term`() {
        fixture.log = ResultLog { _, _, _ -> }
        fixture.routes(EngineFixture.route())
        fixture.submit("j", EngineFixture.item("a"))
        fixture.activate()
        expectThat(fixture.eventually { fixture.proposed.size == 1 }).isTrue()
        fixture.activate()
        expectThat(fixture.eventually { fixture.proposed.size == 2 }).isTrue()
    }

    /** Guards against a job that is never dispatched because its route was configured after its submission. */
    @Test
    fun `dispatches a job once its route is configured`() {
        fixture.activate()
        fixture.routes()
        fixture.submit("j", EngineFixture.item("a"))
        expectThat(fixture.eventually(limit = 1.seconds) { fixture.requestedItems.isNotEmpty() }).isFalse()
        fixture.routes(EngineFixture.route())
        expectThat(fixture.eventually { fixture.proposed.any { it.isCompleted } }).isTrue()
    }

    /** Guards against runs on a route that the operator has removed. */
    @Test
    fun `suspends a job whose route is removed and resumes it when the route is restored`() {
        fixture.responsesEnd = false
        fixture.routes(EngineFixture.route())
        fixture.activate()
        fixture.submit("j", EngineFixture.item("a"))
        expectThat(fixture.eventually { fixture.requestedItems.isNotEmpty() }).isTrue()
        fixture.routes()
        val runs = fixture.requestedItems.size
        expectThat(fixture.eventually(limit = 4.seconds) { fixture.requestedItems.size > runs }).isFalse()
        expectThat(fixture.proposed).isEmpty()
        fixture.responsesEnd = true
        fixture.routes(EngineFixture.route())
        expectThat(fixture.eventually { fixture.proposed.any { it.isCompleted } }).isTrue()
    }

    /** Guards against slots that stay free until the next tick. */
    @Test
    fun `the end of a run starts the next item`() {
        fixture.routes(EngineFixture.route())
        fixture.activate()
        val items = (1..9).map { EngineFixture.item("x$it") }
        fixture.submit("j", *items.toTypedArray())
        expectThat(fixture.eventually(isTicking = false) { fixture.proposed.size == items.size }).isTrue()
    }

    /** Guards against runs on the previous service after the operator has moved a route to another one. */
    @Test
    fun `runs items on the service to which their route was moved`() {
        fixture.routes(EngineFixture.route().copy(shares = EngineFixture.NO_UPSTREAMS))
        fixture.activate()
        fixture.submit("j", EngineFixture.item("a"))
        expectThat(fixture.eventually(limit = 500.milliseconds) { fixture.requestedItems.isNotEmpty() }).isFalse()
        fixture.routes(EngineFixture.route())
        expectThat(fixture.eventually { fixture.proposed.any { it.isCompleted } }).isTrue()
    }

    /** Guards against runs that are aborted by a configuration change that does not affect them. */
    @Test
    fun `continues its runs when a configuration keeps their service`() {
        fixture.responsesEnd = false
        fixture.routes(EngineFixture.route())
        fixture.activate()
        fixture.submit("j", EngineFixture.item("a"))
        expectThat(fixture.eventually { fixture.requestedItems.isNotEmpty() }).isTrue()
        fixture.routes(EngineFixture.route(keep = 50.seconds))
        expectThat(fixture.eventually(limit = 500.milliseconds) { fixture.requestedItems.size > 1 }).isFalse()
    }

    /** Guards against a job age that resets when a route is restored, so that the item outlives its deadline. */
    @Test
    fun `fails an item at its deadline although its route was temporarily removed`() {
        val route = EngineFixture.route(keep = 40.seconds).copy(shares = EngineFixture.NO_UPSTREAMS)
        fixture.routes(route)
        fixture.activate()
        fixture.submit("j", EngineFixture.item("a"))
        fixture.pass(100.milliseconds)
        fixture.advance = 20.seconds
        fixture.routes()
        fixture.pass(100.milliseconds)
        fixture.advance = 30.seconds
        fixture.routes(route)
        expectThat(fixture.eventually(limit = 500.milliseconds) { fixture.proposed.isNotEmpty() }).isFalse()
        fixture.advance = 41.seconds
        expectThat(fixture.eventually { fixture.proposed.size == 1 }).isTrue()
    }

    /** Guards against a job age that is lost with the leadership; an item may fail late, but never early. */
    @Test
    fun `keeps the ages of jobs across a leader change`() {
        fixture.routes(EngineFixture.route(keep = 40.seconds).copy(shares = EngineFixture.NO_UPSTREAMS))
        fixture.submit("j", EngineFixture.item("a"))
        fixture.activate()
        fixture.advance = 30.seconds
        fixture.deactivate()
        fixture.activate()
        expectThat(fixture.eventually(limit = 500.milliseconds) { fixture.proposed.isNotEmpty() }).isFalse()
        fixture.advance = 41.seconds
        expectThat(fixture.eventually { fixture.proposed.size == 1 }).isTrue()
    }

    /** Guards against an accepted job that never runs because its notification was lost. */
    @Test
    fun `dispatches a job whose notification was lost`() {
        fixture.routes(EngineFixture.route())
        fixture.activate()
        fixture.isNotified = false
        fixture.submit("j", EngineFixture.item("a"))
        expectThat(fixture.eventually { fixture.proposed.size == 1 }).isTrue()
    }

    /** Guards against runs for an ended job when the notification of its end was lost. */
    @Test
    fun `ends a job when the notification of its end was lost`() {
        fixture.responsesEnd = false
        fixture.routes(EngineFixture.route())
        fixture.activate()
        fixture.submit("j", EngineFixture.item("a"))
        expectThat(fixture.eventually { fixture.requestedItems.isNotEmpty() }).isTrue()
        fixture.isNotified = false
        fixture.apply(ServiceCommand.EndJob(JobIdentifier("j")))
        fixture.pass(1_500.milliseconds)
        val runs = fixture.requestedItems.size
        expectThat(fixture.eventually(limit = 3.seconds) { fixture.requestedItems.size > runs }).isFalse()
    }

    /** Guards against a second run of an item whose result is being recorded. */
    @Test
    fun `does not re-run an item while its result is being recorded`() {
        fixture.log = ResultLog { _, _, _ -> }
        fixture.routes(EngineFixture.route())
        fixture.submit("j", EngineFixture.item("a"))
        fixture.activate()
        expectThat(fixture.eventually { fixture.proposed.size == 1 }).isTrue()
        expectThat(fixture.eventually(limit = 2.seconds) { fixture.proposed.size == 2 }).isFalse()
    }

    /** Guards against runs for a job that its trainer has ended. */
    @Test
    fun `runs no items of an ended job`() {
        fixture.routes()
        fixture.activate()
        fixture.submit("j", EngineFixture.item("a"))
        fixture.apply(ServiceCommand.EndJob(JobIdentifier("j")))
        fixture.routes(EngineFixture.route())
        expectThat(fixture.eventually(limit = 1.seconds) { fixture.requestedItems.isNotEmpty() }).isFalse()
    }

    /** Guards against endless proposals of results of an ended job, which the group rejects. */
    @Test
    fun `proposes no result of an ended job`() {
        fixture.log = ResultLog { _, _, onReply -> onReply(ServiceReply.Unavailable("no room")) }
        fixture.routes(EngineFixture.route())
        fixture.submit("j", EngineFixture.item("a"))
        fixture.activate()
        expectThat(fixture.eventually { fixture.proposed.isNotEmpty() }).isTrue()
        fixture.apply(ServiceCommand.EndJob(JobIdentifier("j")))
        val before = fixture.proposed.size
        fixture.pass(3.seconds)
        expectThat(fixture.proposed.size).isEqualTo(before)
    }

    /** Guards against a second run of an item whose result was complete but not committed when its job ended. */
    @Test
    fun `reuses the uncommitted result of an ended job for the next job`() {
        fixture.log = ResultLog { _, _, _ -> }
        fixture.routes(EngineFixture.route())
        fixture.submit("j", EngineFixture.item("a"))
        fixture.activate()
        expectThat(fixture.eventually { fixture.proposed.isNotEmpty() }).isTrue()
        fixture.apply(ServiceCommand.EndJob(JobIdentifier("j")))
        fixture.submit("k", EngineFixture.item("a"))
        expectThat(fixture.eventually { fixture.proposed.size == 2 }).isTrue()
        expectThat(fixture.requestedItems).hasSize(1)
    }

    /** Guards against an item that cannot be sent and blocks all later jobs of an activation. */
    @Test
    fun `dispatches the other jobs when an item cannot be sent`() {
        fixture.routes(EngineFixture.route())
        fixture.submit("j", EngineFixture.item("a", HeaderField("no header name", "x")))
        fixture.submit("k", EngineFixture.item("b"))
        fixture.activate()
        expectThat(fixture.eventually { fixture.proposed.map { it.item.value } == listOf("b") }).isTrue()
    }

    /** Guards against a job that cannot be planned and blocks all later jobs of an activation. */
    @Test
    fun `dispatches the other jobs when one cannot be planned`() {
        val weightless = EngineFixture.route().copy(host = "w", shares = emptyList())
        fixture.routes(weightless, EngineFixture.route())
        fixture.submit("j", EngineFixture.item("a"), host = "w")
        fixture.submit("k", EngineFixture.item("b"))
        fixture.activate()
        expectThat(fixture.eventually { fixture.proposed.map { it.item.value } == listOf("b") }).isTrue()
    }

    /** Guards against upstream slots that are occupied by runs that never reached the upstream. */
    @Test
    fun `occupies no slot for an item that cannot be sent`() {
        fixture.routes(EngineFixture.route())
        fixture.submit("j", *Array(4) { EngineFixture.item("a$it", HeaderField("no header name", "x")) })
        fixture.activate()
        fixture.submit("k", EngineFixture.item("b"))
        expectThat(fixture.eventually(limit = 500.milliseconds) { fixture.proposed.isNotEmpty() }).isTrue()
    }

    /** Guards against an item that fails before its deadline because the leaders' wall clocks differ. */
    @Test
    fun `does not fail an item because of a wall-clock jump`() {
        fixture.routes(EngineFixture.route(keep = 40.seconds))
        fixture.submit("j", EngineFixture.item("a"))
        fixture.wallJump = 60.seconds
        fixture.activate()
        expectThat(fixture.eventually { fixture.proposed.isNotEmpty() }).isTrue()
        expectThat(fixture.proposed.filter { !it.isCompleted }).isEmpty()
    }

    /** Guards against items that are retained forever after their deadline. */
    @Test
    fun `fails an item whose minimum age exceeds its deadline`() {
        fixture.routes(EngineFixture.route(keep = 40.seconds).copy(shares = EngineFixture.NO_UPSTREAMS))
        fixture.submit("j", EngineFixture.item("a"))
        fixture.advance = 30.seconds
        fixture.activate()
        expectThat(fixture.eventually(limit = 1.seconds) { fixture.proposed.isNotEmpty() }).isFalse()
        fixture.advance = 41.seconds
        expectThat(fixture.eventually { fixture.proposed.size == 1 }).isTrue()
        expectThat(fixture.proposed.single().isCompleted).isFalse()
    }

    /** Guards against an item that fails by the time-out of a route that is not a batch route. */
    @Test
    fun `does not fail an item by the time-out of a plain route`() {
        fixture.routes(EngineFixture.route(RouteKind.REPEATABLE).copy(shares = EngineFixture.NO_UPSTREAMS))
        fixture.submit("j", EngineFixture.item("a"))
        fixture.activate()
        fixture.advance = 5.seconds
        expectThat(fixture.eventually(limit = 1.seconds) { fixture.proposed.isNotEmpty() }).isFalse()
    }
}
