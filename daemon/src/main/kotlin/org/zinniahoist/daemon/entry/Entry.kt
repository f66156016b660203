package org.zinniahoist.daemon.entry

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServerBuilder
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.zinniahoist.daemon.configuration.ActiveSettings
import org.zinniahoist.daemon.control.ControlClient
import org.zinniahoist.daemon.control.LedgerClient
import org.zinniahoist.daemon.timeline.EventRecorder
import org.zinniahoist.daemon.timeline.record
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import org.zinniahoist.settings.DaemonSettings
import org.zinniahoist.wire.HeartbeatContent
import org.zinniahoist.wire.LinkClient
import org.zinniahoist.wire.LinkHandler
import org.zinniahoist.wire.LinkLimits
import org.zinniahoist.wire.LinkMessage
import org.zinniahoist.wire.LinkServer
import java.net.InetSocketAddress
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * The role `entry`: accepts requests of callers and trainers and routes them to sidecars.
 *
 * @param listenForPeers whether the entry binds the link port itself. A daemon with several roles binds it once and
 * passes links of other entries to [peerHandler].
 * @param configure adds services to the HTTP server, such as those for metrics and the time line.
 */
public class Entry(
    private val settings: DaemonSettings,
    private val inForce: ActiveSettings,
    control: ControlClient,
    private val events: EventRecorder,
    private val clock: () -> Moment,
    random: Random,
    incarnation: Incarnation,
    private val policies: EntryPolicies = EntryPolicies(),
    private val linkLimits: LinkLimits = LinkLimits(),
    private val listenForPeers: Boolean = true,
    private val configure: (ServerBuilder) -> Unit = {},
) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val random: Random = SynchronizedRandom(random)
    private val hello =
        LinkMessage.Hello(
            LinkLimits.PROTOCOL_VERSION,
            settings.name,
            incarnation,
            settings.failureDomain,
            settings.roles,
        )
    private val links = SidecarLinks(policies.router, policies.leaving, events, clock, this.random)
    private val runner = RequestRunner(links, policies.retry, policies.budget, events, clock, this.random)
    private val ledger = LedgerClient(control)
    private val peers = PeerCaller()
    private val tools = DraftTools(ledger, runner, policies, events, clock, links)
    private val holdings =
        TrainerHoldings(settings.name, settings.failureDomain.region, inForce, tools, peers, scope)
    private val http = EntryHttp(
        scope,
        inForce,
        settings.limits.concurrency,
        LiveService(links, runner, policies, clock),
        TrainerService(ledger, holdings, VersionPublisher(control)),
    )
    private val clients = mutableListOf<LinkClient>()
    private var linkServer: LinkServer? = null
    private var server: Server? = null
    private val startedAt = clock()

    @Volatile
    private var triedUpstreams = false

    /** Answers the calls of other entries. */
    public val peerHandler: LinkHandler = PeerCallee(scope, holdings::onPeerCall)

    /** Address of the HTTP server, once it is started. */
    public val httpEndpoint: Endpoint
        get() = Endpoint(settings.listenHost, checkNotNull(server).activeLocalPort())

    /** Address on which other entries open links, once it is bound. */
    public var linkEndpoint: Endpoint? = null
        private set

    /** Number of upstreams that take new work from this entry. */
    public val availableUpstreams: Int get() = links.availableUpstreams

    /** Whether the load balancer may send requests. */
    public val isReady: Boolean
        get() = server != null && !http.draining && inForce.settings != null && hasTriedUpstreams()

    /** Opens the links and the HTTP server. */
    public suspend fun start() {
        // Until the platform's list is known, all sidecars of the settings count as live.
        onPlatformList(settings.sidecars.keys, emptySet())
        if (listenForPeers) listen()
        settings.sidecars.values.forEach { open(it, links) }
        settings.entries.filterKeys { it != settings.name }.values.forEach { open(it, peers) }
        settings.platform.listEndpoint?.let { scope.launch { followPlatformList(PlatformList(it)) } }
        holdings.start()
        server = httpServer().also { it.start().await() }
        events.record("entry-started", "instance" to settings.name, "revision" to inForce.revision)
    }

    /** Opens a link to another entry that was not in the settings at the start. */
    public fun addPeer(endpoint: Endpoint): Unit = open(endpoint, peers)

    /** Records the platform's list of instances, which can lag. */
    public fun onPlatformList(live: Set<InstanceName>, leaving: Set<InstanceName>) {
        synchronized(policies.leaving) { policies.leaving.onPlatformList(live, leaving, clock()) }
        links.refresh()
    }

    /** Stops gracefully: readiness fails, requests in flight finish, leases are given back and links close. */
    public suspend fun drain() {
        http.draining = true
        events.record("entry-draining", "instance" to settings.name)
        val bound = inForce.settings?.drainTimeBound ?: DEFAULT_DRAIN_BOUND
        holdings.drain(bound)
        withTimeoutOrNull(bound) { while (http.requestsInFlight > 0) delay(DRAIN_CHECK) }
        clients.forEach { it.stop("draining") }
        linkServer?.stop("draining")
        server?.stop()?.await()
        events.record("entry-stopped", "instance" to settings.name)
        close()
    }

    /** Stops at once. */
    override fun close() {
        clients.forEach { it.close() }
        linkServer?.close()
        server?.closeAsync()
        scope.cancel()
    }

    private suspend fun listen() {
        val bind = Endpoint(settings.listenHost, settings.linkPort)
        val bound = LinkServer(bind, hello, peerHandler, ::heartbeat, clock, linkLimits)
        linkServer = bound
        linkEndpoint = bound.start()
    }

    /**
     * An entry that has just started waits for its first upstream. Later it stays ready without one, because its
     * refusals are truthful and those of the load balancer are not.
     */
    private fun hasTriedUpstreams(): Boolean {
        if (!triedUpstreams) {
            triedUpstreams =
                settings.sidecars.isEmpty() ||
                links.availableUpstreams > 0 ||
                clock() - startedAt > LINK_WAIT
        }
        return triedUpstreams
    }

    private suspend fun followPlatformList(list: PlatformList) {
        while (true) {
            list.read()?.let { onPlatformList(it.live, it.leaving) }
            delay(settings.platform.listInterval)
        }
    }

    private fun open(endpoint: Endpoint, handler: LinkHandler) {
        val client = LinkClient(endpoint, hello, handler, ::heartbeat, clock, random, linkLimits)
        clients += client
        client.start()
    }

    private fun heartbeat() = HeartbeatContent(http.draining, inForce.revision)

    private fun httpServer(): Server = Server.builder()
        .http(InetSocketAddress(settings.listenHost, settings.httpPort))
        .requestTimeoutMillis(0)
        .maxRequestLength(settings.limits.bodySize)
        .gracefulShutdownTimeoutMillis(0, SHUTDOWN_MILLISECONDS)
        .service("/health/live") { _, _ -> HttpResponse.of(HttpStatus.OK) }
        .service("/health/ready") { _, _ ->
            HttpResponse.of(if (isReady) HttpStatus.OK else HttpStatus.SERVICE_UNAVAILABLE)
        }
        .serviceUnder("/", http)
        .errorHandler(ProblemErrorHandler)
        .also(configure)
        .build()

    private companion object {
        val DEFAULT_DRAIN_BOUND = 20.minutes
        val LINK_WAIT = 10.seconds
        val DRAIN_CHECK = 20.milliseconds
        const val SHUTDOWN_MILLISECONDS = 5_000L
    }
}
