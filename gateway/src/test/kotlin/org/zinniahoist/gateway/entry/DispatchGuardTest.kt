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

/** Tests which requests an entry dispatches during a shutdown. */
class DispatchGuardTest {
    private var serviceEnd: Moment? = null
    private val guard = DispatchGuard { serviceEnd }

    private fun mayDispatch(kind: RouteKind, deadline: Duration, now: Duration = Duration.ZERO): Boolean =
        guard.tryDispatch(routeOf(kind), Moment.ZERO + deadline, Moment.ZERO + now)

    /** Guards against refusing long requests while no shutdown is in progress. */
    @Test
    fun `without a shutdown all requests are dispatched`() {
        RouteKind.entries.forEach { expectThat(mayDispatch(it, deadline = 60.seconds)).isTrue() }
    }

    /** Guards against running a non-repeatable request whose response is lost when the process exits. */
    @Test
    fun `a non-repeatable request is dispatched only if its deadline precedes the end of service`() {
        serviceEnd = Moment.ZERO + 7.seconds
        listOf(RouteKind.AT_MOST_ONCE, RouteKind.EVENT_STREAM).forEach { kind ->
            expectThat(mayDispatch(kind, deadline = 7.seconds)).isTrue()
            expectThat(mayDispatch(kind, deadline = 8.seconds)).isFalse()
        }
    }

    /** Guards against refusing repeatable requests that usually finish long before the process exits. */
    @Test
    fun `a repeatable request is dispatched if its target precedes the end of service`() {
        serviceEnd = Moment.ZERO + 7.seconds
        expectThat(mayDispatch(RouteKind.REPEATABLE, deadline = 10.seconds, now = 6.seconds)).isTrue()
        expectThat(mayDispatch(RouteKind.REPEATABLE, deadline = 10.seconds, now = 6.5.seconds)).isFalse()
        expectThat(mayDispatch(RouteKind.REPEATABLE, deadline = 6.9.seconds, now = 6.5.seconds)).isTrue()
    }

    /** Guards against dispatching a request that was already refused as not run. */
    @Test
    fun `a closed request is not dispatched`() {
        expectThat(guard.close()).isFalse()
        expectThat(mayDispatch(RouteKind.REPEATABLE, deadline = 1.seconds)).isFalse()
        expectThat(guard.tryDispatchToCore()).isFalse()
    }

    /** Guards against refusing a request as not run although an upstream has received it. */
    @Test
    fun `a dispatched request may have run`() {
        expectThat(mayDispatch(RouteKind.AT_MOST_ONCE, deadline = 1.seconds)).isTrue()
        expectThat(guard.close()).isTrue()
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
