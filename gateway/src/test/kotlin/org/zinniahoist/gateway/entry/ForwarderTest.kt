package org.zinniahoist.gateway.entry

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.ResponseHeaders
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.zinniahoist.policy.routes.RouteKind
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class ForwarderTest {
    private val fixture = UpstreamFixture()
    private val forwarder = Forwarder(UpstreamFixture.Names, fixture.calls, fixture.upstreams, fixture.clock)

    @AfterEach
    fun close() = fixture.close()

    private suspend fun forward(kind: RouteKind, within: Duration = 10.seconds): Forwarded =
        forwarder.forward(fixture.request(kind, within))

    private fun text(forwarded: Forwarded): String = (forwarded as Forwarded.Answer).answer.body.decodeToString()

    private fun sound(body: String): HttpResponse = HttpResponse.of(fixture.head(), HttpData.ofUtf8(body))

    /** Guards against a client that waits for an upstream that hangs while its health looks good. */
    @Test
    fun `a silent upstream is hedged by another`(): Unit = runBlocking {
        fixture.upstream { HttpResponse.streaming() }
        fixture.upstream { sound("second") }
        expectThat(text(forward(RouteKind.REPEATABLE))).isEqualTo("second")
    }

    /** Guards against a second run of a request that must run once at most. */
    @Test
    fun `a request that may run once is not sent again after a lost answer`(): Unit = runBlocking {
        fixture.upstream { HttpResponse.ofFailure(IllegalStateException("crash")) }
        fixture.upstream { sound("second") }
        val forwarded = forward(RouteKind.AT_MOST_ONCE)
        val isSecondRun = forwarded is Forwarded.Answer && text(forwarded) == "second"
        expectThat(isSecondRun).isEqualTo(false)
        expectThat(fixture.upstreams.ended).hasSize(1)
    }

    /** Guards against a refusal that ends a request which another upstream would take. */
    @Test
    fun `a request that was not run is sent to another upstream`(): Unit = runBlocking {
        val refused = fixture.head(UpstreamFixture.Names.notRun to "1", status = HttpStatus.SERVICE_UNAVAILABLE)
        fixture.upstream { HttpResponse.of(refused) }
        fixture.upstream { sound("second") }
        expectThat(text(forward(RouteKind.AT_MOST_ONCE))).isEqualTo("second")
    }

    /** Guards against a refusal, or a lost request, where no upstream has got a byte of it. */
    @Test
    fun `a request that could not be sent is sent to another upstream`(): Unit = runBlocking {
        fixture.rawUpstream {}.close()
        fixture.upstream { sound("second") }
        expectThat(text(forward(RouteKind.AT_MOST_ONCE))).isEqualTo("second")
    }

    /** Guards against the answer to another request, and against a success that no upstream stamped. */
    @Test
    fun `foreign and unstamped answers are not passed on`(): Unit = runBlocking {
        fixture.upstream { HttpResponse.of(fixture.head(UpstreamFixture.Names.requestIdentifier to "r2")) }
        fixture.upstream {
            HttpResponse.of(ResponseHeaders.of(HttpStatus.OK, UpstreamFixture.Names.requestIdentifier, "r1"))
        }
        fixture.upstream { sound("third") }
        expectThat(text(forward(RouteKind.REPEATABLE))).isEqualTo("third")
    }

    /** Guards against a client that is held past its deadline. */
    @Test
    fun `without an answer the deadline ends a request`(): Unit = runBlocking {
        fixture.upstream { HttpResponse.streaming() }
        expectThat(forward(RouteKind.AT_MOST_ONCE, within = 200.milliseconds)).isA<Forwarded.NoAnswer>()
    }

    /** Guards against a wait for upstreams that don't exist: the client can come back sooner after a refusal. */
    @Test
    fun `without an upstream a request is refused at once`(): Unit = runBlocking {
        expectThat(forward(RouteKind.REPEATABLE)).isA<Forwarded.NotRun>()
    }

    /** Guards against a client that is refused although the only upstream left would serve it a moment later. */
    @Test
    fun `the only upstream left is asked again after a refusal`(): Unit = runBlocking {
        fixture.scriptedUpstream(notRun(), notRun(), sound("third"))
        expectThat(text(forward(RouteKind.AT_MOST_ONCE))).isEqualTo("third")
    }

    /** Guards against a failure after one lost answer, while the upstream is sound and attempts remain. */
    @Test
    fun `the only upstream left is asked again after a lost answer`(): Unit = runBlocking {
        fixture.scriptedUpstream(unstamped(), sound("second"))
        expectThat(text(forward(RouteKind.REPEATABLE))).isEqualTo("second")
    }

    /** Guards against more attempts than the route allows, and against a request that never gets its refusal. */
    @Test
    fun `an upstream that refuses each time is asked as often as the route allows`(): Unit = runBlocking {
        fixture.scriptedUpstream(notRun(), notRun(), notRun(), sound("fourth"))
        expectThat(forward(RouteKind.REPEATABLE)).isA<Forwarded.NotRun>()
        expectThat(fixture.upstreams.ended).hasSize(3)
    }

    /** Guards against a second run of a request that may run once: a lost answer leaves open whether it has run. */
    @Test
    fun `a request that may run once is not sent to the only upstream again after a lost answer`(): Unit = runBlocking {
        fixture.scriptedUpstream(unstamped(), sound("second"))
        expectThat(forward(RouteKind.AT_MOST_ONCE)).isA<Forwarded.NoAnswer>()
        expectThat(fixture.upstreams.ended).hasSize(1)
    }

    private fun unstamped(): HttpResponse =
        HttpResponse.of(ResponseHeaders.of(HttpStatus.OK, UpstreamFixture.Names.requestIdentifier, "r1"))

    private fun notRun(): HttpResponse =
        HttpResponse.of(fixture.head(UpstreamFixture.Names.notRun to "1", status = HttpStatus.SERVICE_UNAVAILABLE))
}
