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
 * Implements the role `entry`: accepts requests of callers and trainers and routes them to sidecars.
 *
 * @param listenForPeers whether the entry binds the link port itself. A daemon with several roles binds it once and
 * forwards links of other entries to [peerHandler].
 * @param configure adds services to the HTTP server, such as metrics and the event timeline.
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
    private val peers = PeerClient()
    private val samplingContext = SamplingContext(ledger, runner, policies, events, clock, links)
    private val leases =
        TrainerLeases(settings.name, settings.failureDomain.region, inForce, samplingContext, peers, scope)
    private val http = EntryHttp(
        scope,
        inForce,
        settings.limits.concurrency,
        LiveService(links, runner, policies, clock),
        TrainerService(ledger, leases, VersionPublisher(control)),
    )
    private val clients = mutableListOf<LinkClient>()
    private var linkServer: LinkServer? = null
    private var server: Server? = null
    private val startedAt = clock()

    @Volatile
    private var initialUpstreamWaitOver = false

    /** Handles calls of other entries. */
    public val peerHandler: LinkHandler = PeerCallHandler(scope, leases::onPeerCall)

    /** Address of the HTTP server. Throws [IllegalStateException] before the server is started. */
    public val httpEndpoint: Endpoint
        get() = Endpoint(settings.listenHost, checkNotNull(server).activeLocalPort())

    /** Address on which other entries open links, or null before it is bound. */
    public var linkEndpoint: Endpoint? = null
        private set

    /** Number of upstreams that accept new attempts from this entry. */
    public val availableUpstreams: Int get() = links.availableUpstreams

    /** Whether the readiness probe succeeds, so that the load balancer may send requests. */
    public val isReady: Boolean
        get() = server != null && !http.draining && inForce.settings != null && isInitialUpstreamWaitOver()

    /** Opens the links and the HTTP server. */
    public suspend fun start() {
        // All configured sidecars count as live until the platform's instance list has been read.
        onPlatformList(settings.sidecars.keys, emptySet())
        if (listenForPeers) listen()
        settings.sidecars.values.forEach { open(it, links) }
        settings.entries.filterKeys { it != settings.name }.values.forEach { open(it, peers) }
        settings.platform.listEndpoint?.let { scope.launch { followPlatformList(PlatformList(it)) } }
        leases.start()
        server = httpServer().also { it.start().await() }
        events.record("entry-started", "instance" to settings.name, "revision" to inForce.revision)
    }

    /** Opens a link to an entry that was not in the settings at startup. */
    public fun addPeer(endpoint: Endpoint): Unit = open(endpoint, peers)

    /** Applies the platform's instance list, which can lag behind the actual state. */
    public fun onPlatformList(live: Set<InstanceName>, leaving: Set<InstanceName>) {
        synchronized(policies.leaving) { policies.leaving.onPlatformList(live, leaving, clock()) }
        links.refresh()
    }

    /**
     * Shuts down gracefully: fails the readiness probe, waits for requests in flight up to the drain limit, surrenders
     * the leases and closes the links.
     */
    public suspend fun drain() {
        http.draining = true
        events.record("entry-draining", "instance" to settings.name)
        val bound = inForce.settings?.drainTimeBound ?: DEFAULT_DRAIN_TIMEOUT
        leases.drain(bound)
        withTimeoutOrNull(bound) { while (http.requestsInFlight > 0) delay(DRAIN_POLL_INTERVAL) }
        clients.forEach { it.stop("draining") }
        linkServer?.stop("draining")
        server?.stop()?.await()
        events.record("entry-stopped", "instance" to settings.name)
        close()
    }

    /** Shuts down immediately; cancels requests in flight. */
    override fun close() {
        clients.forEach { it.close() }
        linkServer?.close()
        server?.closeAsync()
        scope.cancel()
    }

    private suspend fun listen() {
        val bind = Endpoint(settings.listenHost, settings.linkPort)
        val listener = LinkServer(bind, hello, peerHandler, ::heartbeat, clock, linkLimits)
        linkServer = listener
        linkEndpoint = listener.start()
    }

    /**
     * Returns false after startup until the first upstream is available or the time limit has passed. After that the
     * entry stays ready even without upstreams: its own refusals state whether a request may have run, whereas those
     * of the load balancer do not.
     */
    private fun isInitialUpstreamWaitOver(): Boolean {
        if (!initialUpstreamWaitOver) {
            initialUpstreamWaitOver =
                settings.sidecars.isEmpty() ||
                links.availableUpstreams > 0 ||
                clock() - startedAt > FIRST_UPSTREAM_TIMEOUT
        }
        return initialUpstreamWaitOver
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
        .gracefulShutdownTimeoutMillis(0, SHUTDOWN_TIMEOUT_MILLISECONDS)
        .service("/health/live") { _, _ -> HttpResponse.of(HttpStatus.OK) }
        .service("/health/ready") { _, _ ->
            HttpResponse.of(if (isReady) HttpStatus.OK else HttpStatus.SERVICE_UNAVAILABLE)
        }
        .serviceUnder("/", http)
        .errorHandler(ProblemErrorHandler)
        .also(configure)
        .build()

    private companion object {
        val DEFAULT_DRAIN_TIMEOUT = 20.minutes
        val FIRST_UPSTREAM_TIMEOUT = 10.seconds
        val DRAIN_POLL_INTERVAL = 20.milliseconds
        const val SHUTDOWN_TIMEOUT_MILLISECONDS = 5_000L
    }
}
