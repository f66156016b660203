package org.zinniahoist.gateway.entry

import org.junit.jupiter.api.Test
import org.zinniahoist.model.Moment
import org.zinniahoist.model.ServiceName
import org.zinniahoist.policy.routes.Route
import org.zinniahoist.policy.routes.RouteKind
import org.zinniahoist.policy.routes.ServiceShare
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Which requests are passed on while a process stops. */
class RequestPassageTest {
    private var serviceEnd: Moment? = null
    private val passage = RequestPassage { serviceEnd }

    private fun mayPass(kind: RouteKind, deadline: Duration, present: Duration = Duration.ZERO): Boolean =
        passage.enter(routeOf(kind), Moment.ZERO + deadline, Moment.ZERO + present)

    /** Guards against requests refused by a process that does not stop, however long they may take. */
    @Test
    fun `without a stop all requests are passed on`() {
        RouteKind.entries.forEach { expectThat(mayPass(it, deadline = 60.seconds)).isTrue() }
    }

    /** Guards against requests that run, may not be sent again and lose their answer when the process ends. */
    @Test
    fun `what can't be sent again is passed on only if its deadline is in time`() {
        serviceEnd = Moment.ZERO + 7.seconds
        listOf(RouteKind.AT_MOST_ONCE, RouteKind.EVENT_STREAM).forEach { kind ->
            expectThat(mayPass(kind, deadline = 7.seconds)).isTrue()
            expectThat(mayPass(kind, deadline = 8.seconds)).isFalse()
        }
    }

    /** Guards against safe requests that are refused although they usually end long before the process does. */
    @Test
    fun `what may be repeated is passed on if its target is in time`() {
        serviceEnd = Moment.ZERO + 7.seconds
        expectThat(mayPass(RouteKind.REPEATABLE, deadline = 10.seconds, present = 6.seconds)).isTrue()
        expectThat(mayPass(RouteKind.REPEATABLE, deadline = 10.seconds, present = 6.5.seconds)).isFalse()
        expectThat(mayPass(RouteKind.REPEATABLE, deadline = 6.9.seconds, present = 6.5.seconds)).isTrue()
    }

    /** Guards against a request that was refused as not run and is passed on all the same. */
    @Test
    fun `a request that has ended is not passed on`() {
        expectThat(passage.end()).isFalse()
        expectThat(mayPass(RouteKind.REPEATABLE, deadline = 1.seconds)).isFalse()
        expectThat(passage.enterCore()).isFalse()
    }

    /** Guards against a request that is refused as not run although an upstream has it. */
    @Test
    fun `a request that was passed on may have run`() {
        expectThat(mayPass(RouteKind.AT_MOST_ONCE, deadline = 1.seconds)).isTrue()
        expectThat(passage.end()).isTrue()
    }

    private fun routeOf(kind: RouteKind) = Route(
        name = "r",
        host = "h",
        pathPrefix = "/",
        kind = kind,
        timeout = 10.seconds,
        target = 1.seconds,
        priority = 0,
        shares = listOf(ServiceShare(ServiceName("s"), 1)),
        maximumAttempts = 1,
    )
}
