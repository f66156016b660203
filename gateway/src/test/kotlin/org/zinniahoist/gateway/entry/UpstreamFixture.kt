package org.zinniahoist.gateway.entry

import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.Server
import org.zinniahoist.gateway.dialect.HeaderNames
import org.zinniahoist.gateway.upstream.RawAnswer
import org.zinniahoist.gateway.upstream.RawUpstream
import org.zinniahoist.gateway.upstream.RequestBody
import org.zinniahoist.gateway.upstream.ResponseMemory
import org.zinniahoist.gateway.upstream.UpstreamCalls
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.Moment
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.policy.routes.Route
import org.zinniahoist.policy.routes.RouteKind
import org.zinniahoist.policy.routes.ServiceShare
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Starts upstreams on the loopback interface with scripted responses; they are selected in the order of creation. */
internal class UpstreamFixture : AutoCloseable {
    private val servers = ArrayList<Server>()
    private val rawUpstreams = ArrayList<RawUpstream>()
    val calls = UpstreamCalls(Names)
    val upstreams = OrderedChooser()
    val memory = ResponseMemory(MEMORY_BYTES)
    val clock = { Moment(System.nanoTime()) + clockOffset }

    /** Offset of this fixture's clock, so that a test reaches a deadline without waiting. */
    @Volatile
    var clockOffset: Duration = Duration.ZERO

    /** Times at which requests ran, as recorded for their usage. */
    val usage = CopyOnWriteArrayList<Moment>()

    fun upstream(answer: () -> HttpResponse) {
        val server = Server.builder().http(0).requestTimeoutMillis(0).serviceUnder("/") { _, _ -> answer() }.build()
        server.start().join()
        servers += server
        list(Endpoint("127.0.0.1", server.activeLocalPort()))
    }

    /** Adds an upstream that writes the raw bytes of its responses. */
    fun rawUpstream(answer: RawAnswer.() -> Unit): RawUpstream = add(RawUpstream(answer))

    /** Adds [upstream], which is closed together with this fixture. */
    fun add(upstream: RawUpstream): RawUpstream {
        rawUpstreams += upstream
        list(upstream.endpoint)
        return upstream
    }

    private fun list(endpoint: Endpoint) {
        val identity = UpstreamIdentity("u${upstreams.listed.size + 1}")
        upstreams.listed += ListedUpstream(identity, SERVICE, endpoint, "a", slots = 1, isLeaving = false, emptyMap())
    }

    /** Adds an upstream that returns [answers] in order, one for each request. */
    fun scriptedUpstream(vararg answers: HttpResponse) {
        val left = ConcurrentLinkedQueue(answers.toList())
        upstream { left.remove() }
    }

    fun request(kind: RouteKind, within: Duration = 10.seconds, target: Duration = 1.seconds): ForwardedRequest {
        val headers = RequestHeaders.of(HttpMethod.POST, "/s/", Names.requestIdentifier, REQUEST)
        val guard = DispatchGuard { null }
        val route = routeOf(kind, target)
        return ForwardedRequest(
            headers,
            RequestBody.of(ByteArray(1)),
            REQUEST,
            route,
            clock() + within,
            memory.newReservation(),
            guard,
            { usage += it },
        )
    }

    /** Returns the response headers for the request of this fixture. */
    fun head(vararg more: Pair<String, String>, status: HttpStatus = HttpStatus.OK): ResponseHeaders {
        val builder = ResponseHeaders.builder(status).set(Names.requestIdentifier, REQUEST).set(Names.answerStamp, "s")
        more.forEach { (name, value) -> builder.set(name, value) }
        return builder.build()
    }

    override fun close() {
        calls.close()
        rawUpstreams.forEach { it.close() }
        servers.forEach { it.stop().join() }
    }

    class OrderedChooser : UpstreamChooser {
        val listed = CopyOnWriteArrayList<ListedUpstream>()
        val ended = CopyOnWriteArrayList<Boolean>()

        override fun choose(service: ServiceName, excluded: Set<UpstreamIdentity>) =
            listed.firstOrNull { it.identity !in excluded }

        override fun onEnded(upstream: UpstreamIdentity, latency: Duration, isSuccess: Boolean) {
            ended += isSuccess
        }
    }

    object Names : HeaderNames {
        override val requestIdentifier = "x-request"
        override val remainingMilliseconds = "x-remaining"
        override val answerStamp = "x-stamp"
        override val expectedUpstream = "x-upstream"
        override val workspace = "x-workspace"
        override val notRun = "x-not-run"
        override val upstreamLeaving = "x-leaving"
        override val weightVersion = "x-version"
        override val lastEvent = "x-last"
        override val waitMilliseconds = "x-wait"
    }

    companion object {
        const val REQUEST = "r1"

        /** Room for four responses of the maximum size. */
        const val MEMORY_BYTES = 16L shl 20
        private val SERVICE = ServiceName("drafts")

        private fun routeOf(kind: RouteKind, target: Duration) = Route(
            name = "r",
            host = "h",
            pathPrefix = "/s/",
            kind = kind,
            timeout = 10.seconds,
            target = target,
            priority = 0,
            shares = listOf(ServiceShare(SERVICE, 1)),
            maximumAttempts = 3,
        )
    }
}
