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

    /** Guards against an item that no run holds and no result lists: its trainer would wait for it in vain. */
    @Test
    fun `runs an item again whose result was lost with an earlier term`() {
        fixture.log = ResultLog { _, _, _ -> }
        fixture.routes(EngineFixture.route())
        fixture.submit("j", EngineFixture.item("a"))
        fixture.activate()
        expectThat(fixture.eventually { fixture.proposed.size == 1 }).isTrue()
        fixture.activate()
        expectThat(fixture.eventually { fixture.proposed.size == 2 }).isTrue()
    }

    /** Guards against a job that is never begun because its route came after it. */
    @Test
    fun `begins a job when its route comes`() {
        fixture.activate()
        fixture.routes()
        fixture.submit("j", EngineFixture.item("a"))
        expectThat(fixture.eventually(limit = 1.seconds) { fixture.asked.isNotEmpty() }).isFalse()
        fixture.routes(EngineFixture.route())
        expectThat(fixture.eventually { fixture.proposed.any { it.isCompleted } }).isTrue()
    }

    /** Guards against runs on a route that the operator has removed. */
    @Test
    fun `runs nothing of a job whose route was removed, and goes on when it comes back`() {
        fixture.answersEnd = false
        fixture.routes(EngineFixture.route())
        fixture.activate()
        fixture.submit("j", EngineFixture.item("a"))
        expectThat(fixture.eventually { fixture.asked.isNotEmpty() }).isTrue()
        fixture.routes()
        val runs = fixture.asked.size
        expectThat(fixture.eventually(limit = 4.seconds) { fixture.asked.size > runs }).isFalse()
        expectThat(fixture.proposed).isEmpty()
        fixture.answersEnd = true
        fixture.routes(EngineFixture.route())
        expectThat(fixture.eventually { fixture.proposed.any { it.isCompleted } }).isTrue()
    }

    /** Guards against places that stay empty until the next tick. */
    @Test
    fun `the end of a run starts the next item`() {
        fixture.routes(EngineFixture.route())
        fixture.activate()
        val items = (1..9).map { EngineFixture.item("x$it") }
        fixture.submit("j", *items.toTypedArray())
        expectThat(fixture.eventually(isTicking = false) { fixture.proposed.size == items.size }).isTrue()
    }

    /** Guards against runs by the service from which the operator has moved a route. */
    @Test
    fun `runs items at the service to which their route was moved`() {
        fixture.routes(EngineFixture.route().copy(shares = EngineFixture.NO_UPSTREAMS))
        fixture.activate()
        fixture.submit("j", EngineFixture.item("a"))
        expectThat(fixture.eventually(limit = 500.milliseconds) { fixture.asked.isNotEmpty() }).isFalse()
        fixture.routes(EngineFixture.route())
        expectThat(fixture.eventually { fixture.proposed.any { it.isCompleted } }).isTrue()
    }

    /** Guards against runs that are broken off by a configuration that changes nothing for them. */
    @Test
    fun `goes on with its runs when a configuration keeps their service`() {
        fixture.answersEnd = false
        fixture.routes(EngineFixture.route())
        fixture.activate()
        fixture.submit("j", EngineFixture.item("a"))
        expectThat(fixture.eventually { fixture.asked.isNotEmpty() }).isTrue()
        fixture.routes(EngineFixture.route(keep = 50.seconds))
        expectThat(fixture.eventually(limit = 500.milliseconds) { fixture.asked.size > 1 }).isFalse()
    }

    /** Guards against an age that begins anew when a route comes back: the item would be kept beyond its time. */
    @Test
    fun `gives up an item in its time though its route was away`() {
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

    /** Guards against an age that is lost with the leadership: an item may be given up late, never early. */
    @Test
    fun `keeps the ages of jobs over a change of leader`() {
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

    /** Guards against an accepted job that nobody runs because the word of it was lost. */
    @Test
    fun `begins a job of which it was not told`() {
        fixture.routes(EngineFixture.route())
        fixture.activate()
        fixture.isTold = false
        fixture.submit("j", EngineFixture.item("a"))
        expectThat(fixture.eventually { fixture.proposed.size == 1 }).isTrue()
    }

    /** Guards against runs for a job whose end was not heard of. */
    @Test
    fun `ends a job of whose end it was not told`() {
        fixture.answersEnd = false
        fixture.routes(EngineFixture.route())
        fixture.activate()
        fixture.submit("j", EngineFixture.item("a"))
        expectThat(fixture.eventually { fixture.asked.isNotEmpty() }).isTrue()
        fixture.isTold = false
        fixture.apply(ServiceCommand.EndJob(JobIdentifier("j")))
        fixture.pass(1_500.milliseconds)
        val runs = fixture.asked.size
        expectThat(fixture.eventually(limit = 3.seconds) { fixture.asked.size > runs }).isFalse()
    }

    /** Guards against a second run of an item whose result is on its way. */
    @Test
    fun `runs no item again while its result is being recorded`() {
        fixture.log = ResultLog { _, _, _ -> }
        fixture.routes(EngineFixture.route())
        fixture.submit("j", EngineFixture.item("a"))
        fixture.activate()
        expectThat(fixture.eventually { fixture.proposed.size == 1 }).isTrue()
        expectThat(fixture.eventually(limit = 2.seconds) { fixture.proposed.size == 2 }).isFalse()
    }

    /** Guards against runs for a job that nobody waits for any more. */
    @Test
    fun `runs nothing of a job that was ended`() {
        fixture.routes()
        fixture.activate()
        fixture.submit("j", EngineFixture.item("a"))
        fixture.apply(ServiceCommand.EndJob(JobIdentifier("j")))
        fixture.routes(EngineFixture.route())
        expectThat(fixture.eventually(limit = 1.seconds) { fixture.asked.isNotEmpty() }).isFalse()
    }

    /** Guards against results of an ended job that are proposed for as long as the group refuses them. */
    @Test
    fun `proposes no result of a job that was ended`() {
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

    /** Guards against a second run of an item whose result was made but not listed when its job ended. */
    @Test
    fun `uses the unlisted result of an ended job for the next one`() {
        fixture.log = ResultLog { _, _, _ -> }
        fixture.routes(EngineFixture.route())
        fixture.submit("j", EngineFixture.item("a"))
        fixture.activate()
        expectThat(fixture.eventually { fixture.proposed.isNotEmpty() }).isTrue()
        fixture.apply(ServiceCommand.EndJob(JobIdentifier("j")))
        fixture.submit("k", EngineFixture.item("a"))
        expectThat(fixture.eventually { fixture.proposed.size == 2 }).isTrue()
        expectThat(fixture.asked).hasSize(1)
    }

    /** Guards against one item that can't be sent and takes all later jobs of an activation with it. */
    @Test
    fun `begins the other jobs when an item can not be sent`() {
        fixture.routes(EngineFixture.route())
        fixture.submit("j", EngineFixture.item("a", HeaderField("no header name", "x")))
        fixture.submit("k", EngineFixture.item("b"))
        fixture.activate()
        expectThat(fixture.eventually { fixture.proposed.map { it.item.value } == listOf("b") }).isTrue()
    }

    /** Guards against one job that can't be planned and takes all later jobs of an activation with it. */
    @Test
    fun `begins the other jobs when one can not be planned`() {
        val weightless = EngineFixture.route().copy(host = "w", shares = emptyList())
        fixture.routes(weightless, EngineFixture.route())
        fixture.submit("j", EngineFixture.item("a"), host = "w")
        fixture.submit("k", EngineFixture.item("b"))
        fixture.activate()
        expectThat(fixture.eventually { fixture.proposed.map { it.item.value } == listOf("b") }).isTrue()
    }

    /** Guards against places of an upstream that are taken by runs that never reached it. */
    @Test
    fun `takes no place for an item that can not be sent`() {
        fixture.routes(EngineFixture.route())
        fixture.submit("j", *Array(4) { EngineFixture.item("a$it", HeaderField("no header name", "x")) })
        fixture.activate()
        fixture.submit("k", EngineFixture.item("b"))
        expectThat(fixture.eventually(limit = 500.milliseconds) { fixture.proposed.isNotEmpty() }).isTrue()
    }

    /** Guards against an error that is listed before its time because the leaders' wall clocks differ. */
    @Test
    fun `gives up no item because the wall clock has jumped`() {
        fixture.routes(EngineFixture.route(keep = 40.seconds))
        fixture.submit("j", EngineFixture.item("a"))
        fixture.wallJump = 60.seconds
        fixture.activate()
        expectThat(fixture.eventually { fixture.proposed.isNotEmpty() }).isTrue()
        expectThat(fixture.proposed.filter { !it.isCompleted }).isEmpty()
    }

    /** Guards against items that are kept for ever although their time is over. */
    @Test
    fun `gives up an item that is surely old enough`() {
        fixture.routes(EngineFixture.route(keep = 40.seconds).copy(shares = EngineFixture.NO_UPSTREAMS))
        fixture.submit("j", EngineFixture.item("a"))
        fixture.advance = 30.seconds
        fixture.activate()
        expectThat(fixture.eventually(limit = 1.seconds) { fixture.proposed.isNotEmpty() }).isFalse()
        fixture.advance = 41.seconds
        expectThat(fixture.eventually { fixture.proposed.size == 1 }).isTrue()
        expectThat(fixture.proposed.single().isCompleted).isFalse()
    }

    /** Guards against an error that is listed by the time-out of a route that is not meant for jobs. */
    @Test
    fun `gives up no item by the time-out of a plain route`() {
        fixture.routes(EngineFixture.route(RouteKind.REPEATABLE).copy(shares = EngineFixture.NO_UPSTREAMS))
        fixture.submit("j", EngineFixture.item("a"))
        fixture.activate()
        fixture.advance = 5.seconds
        expectThat(fixture.eventually(limit = 1.seconds) { fixture.proposed.isNotEmpty() }).isFalse()
    }
}
