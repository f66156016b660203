package org.zinniahoist.gateway.entry

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.ResponseHeaders
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.zinniahoist.gateway.upstream.repeatingUpstream
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

    private fun success(body: String): HttpResponse = HttpResponse.of(fixture.head(), HttpData.ofUtf8(body))

    /** Guards against a client that waits for a hung upstream whose health checks pass. */
    @Test
    fun `a request to a hung upstream is hedged on another`(): Unit = runBlocking {
        fixture.upstream { HttpResponse.streaming() }
        fixture.upstream { success("second") }
        expectThat(text(forward(RouteKind.REPEATABLE))).isEqualTo("second")
    }

    /** Guards against running an at-most-once request twice. */
    @Test
    fun `an at-most-once request is not retried after a lost response`(): Unit = runBlocking {
        fixture.upstream { HttpResponse.ofFailure(IllegalStateException("crash")) }
        fixture.upstream { success("second") }
        val forwarded = forward(RouteKind.AT_MOST_ONCE)
        val isRetried = forwarded is Forwarded.Answer && text(forwarded) == "second"
        expectThat(isRetried).isEqualTo(false)
        expectThat(fixture.upstreams.ended).hasSize(1)
    }

    /** Guards against failing a request after one refusal although another upstream would accept it. */
    @Test
    fun `a refused request is retried on another upstream`(): Unit = runBlocking {
        val refused = fixture.head(UpstreamFixture.Names.notRun to "1", status = HttpStatus.SERVICE_UNAVAILABLE)
        fixture.upstream { HttpResponse.of(refused) }
        fixture.upstream { success("second") }
        expectThat(text(forward(RouteKind.AT_MOST_ONCE))).isEqualTo("second")
    }

    /** Guards against refusing a request or reporting it lost although no upstream has received a byte of it. */
    @Test
    fun `an unsent request is retried on another upstream`(): Unit = runBlocking {
        fixture.rawUpstream {}.close()
        fixture.upstream { success("second") }
        expectThat(text(forward(RouteKind.AT_MOST_ONCE))).isEqualTo("second")
    }

    /** Guards against forwarding the response to another request, or a success without the upstream's stamp. */
    @Test
    fun `mismatched and unstamped responses are not forwarded`(): Unit = runBlocking {
        fixture.upstream { HttpResponse.of(fixture.head(UpstreamFixture.Names.requestIdentifier to "r2")) }
        fixture.upstream {
            HttpResponse.of(ResponseHeaders.of(HttpStatus.OK, UpstreamFixture.Names.requestIdentifier, "r1"))
        }
        fixture.upstream { success("third") }
        expectThat(text(forward(RouteKind.REPEATABLE))).isEqualTo("third")
    }

    /** Guards against keeping a client waiting past its deadline. */
    @Test
    fun `a request without a response ends at its deadline`(): Unit = runBlocking {
        fixture.upstream { HttpResponse.streaming() }
        expectThat(forward(RouteKind.AT_MOST_ONCE, within = 200.milliseconds)).isA<Forwarded.NoAnswer>()
    }

    /** Guards against waiting for upstreams that don't exist: a refused client can retry sooner. */
    @Test
    fun `without an upstream a request is refused immediately`(): Unit = runBlocking {
        expectThat(forward(RouteKind.REPEATABLE)).isA<Forwarded.NotRun>()
    }

    /** Guards against refusing a client although the only remaining upstream would accept a retry. */
    @Test
    fun `a request is retried on the only remaining upstream after a refusal`(): Unit = runBlocking {
        fixture.scriptedUpstream(notRun(), notRun(), success("third"))
        expectThat(text(forward(RouteKind.AT_MOST_ONCE))).isEqualTo("third")
    }

    /** Guards against failing after one lost response although the upstream is healthy and attempts remain. */
    @Test
    fun `a request is retried on the only remaining upstream after a lost response`(): Unit = runBlocking {
        fixture.scriptedUpstream(unstamped(), success("second"))
        expectThat(text(forward(RouteKind.REPEATABLE))).isEqualTo("second")
    }

    /** Guards against more attempts than the route allows, and against a request that is never refused. */
    @Test
    fun `attempts at an upstream that always refuses stop at the maximum of the route`(): Unit = runBlocking {
        fixture.scriptedUpstream(notRun(), notRun(), notRun(), success("fourth"))
        expectThat(forward(RouteKind.REPEATABLE)).isA<Forwarded.NotRun>()
        expectThat(fixture.upstreams.ended).hasSize(3)
    }

    /** Guards against running an at-most-once request twice: after a lost response it may already have run. */
    @Test
    fun `an at-most-once request is not retried on the only upstream after a lost response`(): Unit = runBlocking {
        fixture.scriptedUpstream(unstamped(), success("second"))
        expectThat(forward(RouteKind.AT_MOST_ONCE)).isA<Forwarded.NoAnswer>()
        expectThat(fixture.upstreams.ended).hasSize(1)
    }

    /**
     * Guards against a late copy of a refusal on a connection in use, which tells the caller that its second attempt
     * was not run although the upstream runs it, or sends the request to another upstream that runs it once more.
     */
    @ParameterizedTest
    @ValueSource(strings = ["503 Full\r\nx-not-run: 1", "421 Misdirected"])
    fun `a copy of a refusal does not answer the next attempt`(refusal: String): Unit = runBlocking {
        val upstream = fixture.add(repeatingUpstream(response(refusal), response("200 OK")))
        expectThat(forward(RouteKind.AT_MOST_ONCE)).isA<Forwarded.Answer>().get { answer.status }.isEqualTo(200)
        expectThat(upstream.requests).isEqualTo(2)
    }

    /** Guards against a late copy that promises a client, which came again under its identifier, that nothing ran. */
    @ParameterizedTest
    @ValueSource(strings = ["408 Timeout", "429 Full"])
    fun `a copy of a rejection does not answer a client that comes again`(rejection: String): Unit = runBlocking {
        fixture.add(repeatingUpstream(response(rejection), response("200 OK")))
        forward(RouteKind.AT_MOST_ONCE)
        expectThat(forward(RouteKind.AT_MOST_ONCE)).isA<Forwarded.Answer>().get { answer.status }.isEqualTo(200)
    }

    private fun response(statusAndFields: String): String =
        "HTTP/1.1 $statusAndFields\r\nx-request: r1\r\nx-stamp: s\r\ncontent-length: 0\r\n\r\n"

    private fun unstamped(): HttpResponse =
        HttpResponse.of(ResponseHeaders.of(HttpStatus.OK, UpstreamFixture.Names.requestIdentifier, "r1"))

    private fun notRun(): HttpResponse =
        HttpResponse.of(fixture.head(UpstreamFixture.Names.notRun to "1", status = HttpStatus.SERVICE_UNAVAILABLE))
}
