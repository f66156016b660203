package org.zinniahoist.gateway.entry

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.Server
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.future.await
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.zinniahoist.gateway.dialect.HeaderNames
import org.zinniahoist.gateway.upstream.UpstreamCalls
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.Moment
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.policy.routes.Route
import org.zinniahoist.policy.routes.RouteKind
import org.zinniahoist.policy.routes.ServiceShare
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class StreamForwarderTest {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val calls = UpstreamCalls()
    private val servers = ArrayList<Server>()
    private val upstreams = ListedInOrder()
    private val clock = { Moment(System.nanoTime()) }
    private val forwarder = StreamForwarder(Names, calls, upstreams, scope, clock)

    @AfterEach
    fun close() {
        scope.cancel()
        calls.close()
        servers.forEach { it.stop().join() }
    }

    private fun upstream(answer: () -> HttpResponse) {
        val server = Server.builder().http(0).requestTimeoutMillis(0).serviceUnder("/") { _, _ -> answer() }.build()
        server.start().join()
        servers += server
        val endpoint = Endpoint("127.0.0.1", server.activeLocalPort())
        val identity = UpstreamIdentity("u${servers.size}")
        upstreams.listed += ListedUpstream(identity, SERVICE, endpoint, "a", slots = 1, isLeaving = false, emptyMap())
    }

    private suspend fun forward(within: Duration = 10.seconds): ForwardedStream {
        val headers = RequestHeaders.of(HttpMethod.POST, "/s/", Names.requestIdentifier, "r1")
        return forwarder.forward(ForwardedRequest(headers, ByteArray(1), "r1", ROUTE, clock() + within))
    }

    private fun head(vararg more: Pair<String, String>, status: HttpStatus = HttpStatus.OK): ResponseHeaders {
        val builder = ResponseHeaders.builder(status).set(Names.requestIdentifier, "r1").set(Names.answerStamp, "s")
        more.forEach { (name, value) -> builder.set(name, value) }
        return builder.build()
    }

    /** Guards against streams that are held back until they are complete. */
    @Test
    fun `passes the head on before the stream has ended`(): Unit = runBlocking {
        val writer = HttpResponse.streaming()
        upstream { writer.also { it.write(head()) } }
        val begun = forward() as ForwardedStream.Begun
        writer.write(HttpData.ofUtf8("data: a\n\n"))
        writer.close()
        expectThat(begun.response.aggregate().await().contentUtf8()).isEqualTo("data: a\n\n")
    }

    /** Guards against a request that is given up although the upstream that refused it has not run it. */
    @Test
    fun `asks another upstream when one has not run the request`(): Unit = runBlocking {
        upstream { HttpResponse.of(head(Names.notRun to "1", status = HttpStatus.SERVICE_UNAVAILABLE)) }
        upstream { HttpResponse.of(head(), HttpData.ofUtf8("data: b\n\n")) }
        val begun = forward() as ForwardedStream.Begun
        expectThat(begun.response.aggregate().await().contentUtf8()).isEqualTo("data: b\n\n")
    }

    /** Guards against a second run of a request that an upstream may have run. */
    @Test
    fun `asks no other upstream after a success without its stamp`(): Unit = runBlocking {
        upstream { HttpResponse.of(ResponseHeaders.of(HttpStatus.OK, Names.requestIdentifier, "r1")) }
        upstream { HttpResponse.of(head()) }
        expectThat(forward()).isA<ForwardedStream.NoAnswer>()
        expectThat(upstreams.ended.toList()).isEqualTo(listOf(false))
    }

    /** Guards against a client that waits past its deadline, and an upstream that goes on working for nobody. */
    @Test
    fun `closes a silent upstream at the deadline`(): Unit = runBlocking {
        val closed = CompletableDeferred<Boolean>()
        upstream {
            HttpResponse.streaming().also { silent -> silent.whenComplete().handle { _, _ -> closed.complete(true) } }
        }
        expectThat(forward(within = 200.milliseconds)).isA<ForwardedStream.NoAnswer>()
        expectThat(closed.await()).isTrue()
    }

    /** Guards against a stream that is cut at the deadline and looks complete. */
    @Test
    fun `a stream that outlasts the deadline ends with a failure`(): Unit = runBlocking {
        upstream { HttpResponse.streaming().also { it.write(head()) } }
        val begun = forward(within = 300.milliseconds) as ForwardedStream.Begun
        val failure = runCatching { begun.response.aggregate().await() }.exceptionOrNull()
        expectThat(failure != null).isTrue()
    }

    private class ListedInOrder : UpstreamChooser {
        val listed = CopyOnWriteArrayList<ListedUpstream>()
        val ended = CopyOnWriteArrayList<Boolean>()

        override fun choose(service: ServiceName, excluded: Set<UpstreamIdentity>) =
            listed.firstOrNull { it.identity !in excluded }

        override fun onEnded(upstream: UpstreamIdentity, latency: Duration, isSound: Boolean) {
            ended += isSound
        }
    }

    private object Names : HeaderNames {
        override val requestIdentifier = "x-request"
        override val remainingMilliseconds = "x-remaining"
        override val answerStamp = "x-stamp"
        override val expectedUpstream = "x-upstream"
        override val notRun = "x-not-run"
        override val weightVersion = "x-version"
        override val lastEvent = "x-last"
        override val waitMilliseconds = "x-wait"
    }

    private companion object {
        val SERVICE = ServiceName("drafts")
        val ROUTE = Route(
            name = "r",
            host = "h",
            pathPrefix = "/s/",
            kind = RouteKind.EVENT_STREAM,
            timeout = 10.seconds,
            target = 1.seconds,
            priority = 0,
            shares = listOf(ServiceShare(SERVICE, 1)),
            maximumAttempts = 3,
        )
    }
}
