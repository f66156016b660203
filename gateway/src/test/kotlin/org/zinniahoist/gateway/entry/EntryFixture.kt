package org.zinniahoist.gateway.entry

import arrow.core.Either
import arrow.core.right
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.Server
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.zinniahoist.gateway.GatewayProcess
import org.zinniahoist.gateway.core.StubDialect
import org.zinniahoist.gateway.dialect.ClientCall
import org.zinniahoist.gateway.dialect.ListPage
import org.zinniahoist.gateway.dialect.OutboundPaths
import org.zinniahoist.gateway.dialect.PlatformDialect
import org.zinniahoist.gateway.link.DocumentCompression
import org.zinniahoist.gateway.link.PeerLinks
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Region
import org.zinniahoist.model.Revision
import org.zinniahoist.model.Role
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.policy.routes.ClientLimits
import org.zinniahoist.policy.routes.ConfigurationFault
import org.zinniahoist.policy.routes.Route
import org.zinniahoist.policy.routes.RouteKind
import org.zinniahoist.policy.routes.ServiceConfiguration
import org.zinniahoist.policy.routes.ServiceEntry
import org.zinniahoist.policy.routes.ServiceShare
import org.zinniahoist.policy.routes.Workspace
import org.zinniahoist.settings.GatewayRole
import org.zinniahoist.settings.GatewaySettings
import org.zinniahoist.settings.LiveAdmissionMode
import org.zinniahoist.settings.SchedulingSettings
import org.zinniahoist.wire.HeartbeatContent
import org.zinniahoist.wire.LinkCloseCause
import org.zinniahoist.wire.LinkConnection
import org.zinniahoist.wire.LinkHandler
import org.zinniahoist.wire.LinkLimits
import org.zinniahoist.wire.LinkMessage
import org.zinniahoist.wire.LinkServer
import org.zinniahoist.wire.Message
import org.zinniahoist.wire.ServiceCall
import org.zinniahoist.wire.ServiceMessage
import org.zinniahoist.wire.ServiceReply
import java.net.InetAddress
import java.net.ServerSocket
import java.time.Duration.ofMillis
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Runs an entry on loopback with a fake core and one route of [kind] to [otherUpstream], or to one with [latency]. The
 * entry finds the core at its start unless [seedHost] is another host.
 */
internal class EntryFixture(
    grace: Duration,
    private val latency: Duration,
    private val kind: RouteKind = RouteKind.REPEATABLE,
    private val otherUpstream: Endpoint? = null,
    seedHost: String = HOST,
    private val liveAdmission: LiveAdmissionMode = LiveAdmissionMode.NONE,
) : AutoCloseable {
    private val clock = { Moment(System.nanoTime()) }
    private val upstream = startUpstream()
    private val replica = FakeCore()
    private val core = LinkServer(Endpoint(HOST, 0), hello(), replica, ::HeartbeatContent, clock, PeerLinks.LIMITS)
    private val readiness = Endpoint(HOST, freePort())

    /** Identifiers of the requests that have reached the upstream. */
    val receivedRequests: MutableSet<String> = ConcurrentHashMap.newKeySet()

    /** Revisions that the entry has activated, in order. */
    val activeRevisions: MutableList<Revision> = CopyOnWriteArrayList()

    /** Limits in the next configuration that the entry reads. */
    @Volatile
    var limits: ClientLimits? = null

    /** Workspaces in the next configuration that the entry reads. */
    @Volatile
    var workspaces: List<Workspace>? = null

    /** Heads of the requests that have reached the upstream. */
    val receivedHeads: MutableList<RequestHeaders> = CopyOnWriteArrayList()

    /** Number of times the entry has fetched the configuration that the core has applied. */
    val fetches: Int get() = replica.fetches.get()

    /** Address on which the entry listens for clients. */
    val clients = Endpoint(HOST, freePort())
    private val settings = settings(grace, linkPort = runBlocking { core.start() }.port, seedHost)
    val entry: GatewayProcess = EntryProcess(settings, Dialect(), clock)

    /** Starts the entry and waits until it is ready. */
    fun start() {
        entry.start()
        val client = java.net.http.HttpClient.newHttpClient()
        val probe = java.net.http.HttpRequest.newBuilder(java.net.URI("http://$readiness/")).build()
        val bodies = java.net.http.HttpResponse.BodyHandlers.discarding()
        runBlocking {
            withTimeout(READY_TIMEOUT) {
                while (client.send(probe, bodies).statusCode() != HttpStatus.OK.code()) delay(20.milliseconds)
            }
        }
    }

    /** Gives the entry changed settings, whose only seed is the core. */
    fun nameCoreAsSeed(): Unit = entry.reload(settings.copy(seeds = listOf(SEED)))

    /** Makes the core apply and announce the configuration with [revision]. */
    fun announce(revision: Long) {
        replica.newest = Revision(revision)
        replica.links.forEach { it.offer(ServiceMessage.Configured(Revision(revision))) }
    }

    /** Makes the core replay its log without a leader, so that it can't tell which configuration is the newest. */
    fun loseLeader() {
        replica.hasLeader = false
    }

    /** Ends [loseLeader], with [revision] as the newest acknowledged configuration. */
    fun electLeader(revision: Long) {
        replica.newest = Revision(revision)
        replica.hasLeader = true
    }

    override fun close() {
        runBlocking { core.stop("the test has ended") }
        upstream.stop().join()
    }

    private fun startUpstream(): Server {
        val server = Server.builder().http(0).requestTimeoutMillis(0).serviceUnder("/") { _, request ->
            val identifier = request.headers().get(UpstreamFixture.Names.requestIdentifier)
            if (identifier == null) {
                HttpResponse.of("one page")
            } else {
                receivedRequests += identifier
                receivedHeads += request.headers()
                val head = ResponseHeaders.builder(HttpStatus.OK)
                    .set(UpstreamFixture.Names.requestIdentifier, identifier)
                    .set(UpstreamFixture.Names.answerStamp, "s")
                    .build()
                HttpResponse.delayed(HttpResponse.of(head), ofMillis(latency.inWholeMilliseconds))
            }
        }.build()
        server.start().join()
        return server
    }

    private fun settings(grace: Duration, linkPort: Int, seedHost: String) = GatewaySettings(
        machine = "entry-1",
        role = GatewayRole.ENTRY,
        failureDomain = "a",
        region = "r",
        address = HOST,
        linkPort = linkPort,
        dataFolder = null,
        clients = clients,
        readiness = readiness,
        operators = null,
        seeds = listOf(SEED.copy(host = seedHost)),
        firstStart = false,
        toleratedLosses = 1,
        listEndpoint = Endpoint(HOST, upstream.activeLocalPort()),
        grace = grace,
        orderLease = 1.seconds,
        scheduling = SchedulingSettings(liveAdmission),
    )

    private fun hello() = LinkMessage.Hello(
        protocolVersion = LinkLimits.PROTOCOL_VERSION,
        instance = InstanceName("core-1"),
        incarnation = Incarnation(1),
        failureDomain = FailureDomain("a", Region("r")),
        roles = setOf(Role.CONTROL),
    )

    private inner class Dialect : PlatformDialect by StubDialect() {
        override val paths = object : OutboundPaths {
            override val report = StubDialect.REPORT
            override val order = StubDialect.ORDER

            override fun list(token: String?): String = "/list"
        }

        override fun clientCall(method: String, path: String, query: String?): ClientCall? = null

        override fun configuration(document: ByteArray): Either<ConfigurationFault, ServiceConfiguration> {
            val revision = Revision(document.decodeToString().toLong())
            activeRevisions += revision
            val route = ROUTE.copy(kind = kind)
            val services = listOf(ServiceEntry(SERVICE, 100))
            return ServiceConfiguration(revision, listOf(route), services, limits, workspaces).right()
        }

        override fun listPage(body: ByteArray): ListPage {
            val endpoint = otherUpstream ?: Endpoint(HOST, upstream.activeLocalPort())
            val listed = ListedUpstream(UpstreamIdentity("u1"), SERVICE, endpoint, "a", slots = 64, isLeaving = false)
            return ListPage(listOf(listed), unreadable = 0, nextToken = null)
        }
    }

    /** Fakes a core that replies after [REPLY_DELAY], as a starting core does. */
    private class FakeCore : LinkHandler {
        val links: MutableSet<LinkConnection> = ConcurrentHashMap.newKeySet()
        val fetches = AtomicInteger()
        private val scope = CoroutineScope(Dispatchers.Default)

        @Volatile
        var newest = REVISION

        @Volatile
        var hasLeader = true

        override fun onOpen(link: LinkConnection) {
            links += link
        }

        override suspend fun onMessage(link: LinkConnection, message: Message) {
            if (message !is ServiceMessage.Call) return
            if (message.call is ServiceCall.AppliedConfiguration) fetches.incrementAndGet()
            val revision = newest
            val document = ServiceReply.Document(
                revision,
                DocumentCompression.compress("$revision".encodeToByteArray()),
            )
            val isUnanswerable = message.call is ServiceCall.NewestConfiguration && !hasLeader
            val reply = if (isUnanswerable) ServiceReply.Unavailable("no leader") else document
            scope.launch {
                delay(REPLY_DELAY)
                link.send(ServiceMessage.Reply(message.identifier, reply))
            }
        }

        override fun onClosed(link: LinkConnection, cause: LinkCloseCause) {
            links -= link
        }
    }

    private companion object {
        const val HOST = "127.0.0.1"

        /** Address for operators of the core, whose host is that of its links. */
        val SEED = Endpoint(HOST, 1)
        val REVISION = Revision(1)
        val SERVICE = ServiceName("cases")
        val READY_TIMEOUT = 10.seconds
        val REPLY_DELAY = 100.milliseconds
        val ROUTE = Route(
            name = "r",
            host = HOST,
            pathPrefix = "/s/",
            kind = RouteKind.REPEATABLE,
            timeout = 10.seconds,
            target = 1.seconds,
            priority = 0,
            shares = listOf(ServiceShare(SERVICE, 1)),
            maximumAttempts = 1,
        )

        fun freePort(): Int = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
    }
}
