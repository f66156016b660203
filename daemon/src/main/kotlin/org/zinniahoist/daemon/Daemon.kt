package org.zinniahoist.daemon

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
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.zinniahoist.daemon.control.LedgerClient
import org.zinniahoist.daemon.control.RemoteControlClient
import org.zinniahoist.daemon.control.SettingsFollower
import org.zinniahoist.daemon.entry.Entry
import org.zinniahoist.daemon.sidecar.Sidecar
import org.zinniahoist.daemon.timeline.EventRecorder
import org.zinniahoist.daemon.timeline.record
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Revision
import org.zinniahoist.model.Role
import org.zinniahoist.settings.DaemonSettings
import org.zinniahoist.wire.HeartbeatContent
import org.zinniahoist.wire.LinkClient
import org.zinniahoist.wire.LinkLimits
import org.zinniahoist.wire.LinkMessage
import org.zinniahoist.wire.LinkServer
import java.net.InetSocketAddress
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/**
 * One process of the system with the roles that its settings name.
 *
 * @param policies makes the decision objects; the default is what is measured best.
 */
public class Daemon(
    private val settings: DaemonSettings,
    private val events: EventRecorder,
    private val clock: () -> Moment = { Moment(System.nanoTime()) },
    private val random: Random = Random.Default,
    private val policies: DaemonPolicies = DaemonPolicies.chosen(settings),
    private val configure: (ServerBuilder) -> Unit = {},
) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val control = RemoteControlClient(clock)
    private val follower = SettingsFollower(settings.branch, control, events)
    private val incarnation = Incarnation(random.nextLong(Long.MAX_VALUE))
    private val role = if (Role.CONTROL in
        settings.roles
    ) {
        ControlRole(settings, control, events, clock, scope)
    } else {
        null
    }
    private val sidecar = if (Role.SIDECAR in settings.roles) createSidecar() else null
    private val entry = if (Role.ENTRY in settings.roles) createEntry() else null
    private val hello = LinkMessage.Hello(
        protocolVersion = LinkLimits.PROTOCOL_VERSION,
        instance = settings.name,
        incarnation = incarnation,
        failureDomain = settings.failureDomain,
        roles = settings.roles,
        upstream = settings.upstream?.toUpstream(settings),
    )
    private val links = DaemonLinks(sidecar, entry?.peerHandler, role?.links, role?.observer)
    private val clients = mutableListOf<LinkClient>()
    private var linkServer: LinkServer? = null
    private var server: Server? = null

    private val drainStarted = AtomicBoolean()

    @Volatile
    private var draining = false

    /** Whether a graceful stop has ended. */
    @Volatile
    public var isStopped: Boolean = false
        private set

    /** Address of the HTTP server, once it is started. */
    public val httpEndpoint: Endpoint
        get() = entry?.httpEndpoint ?: Endpoint(settings.listenHost, checkNotNull(server).activeLocalPort())

    /** Address of the links, once it is bound. */
    public var linkEndpoint: Endpoint? = null
        private set

    /** Revision of the settings that the daemon acts on. */
    public val settingsRevision: Revision get() = follower.revision

    /** Number of upstreams that take new work from the entry of this daemon. */
    public val availableUpstreams: Int get() = entry?.availableUpstreams ?: 0

    /** Whether the daemon takes work. */
    public val isReady: Boolean
        get() = !draining && follower.settings != null && (sidecar?.isReady ?: true) && (entry?.isReady ?: true)

    /** Opens files, links and servers. A daemon takes work once it has read the settings in force. */
    public suspend fun start() {
        role?.open()
        val bind = Endpoint(settings.listenHost, settings.linkPort)
        val accepting = LinkServer(bind, hello, links, ::heartbeat, clock)
        linkServer = accepting
        linkEndpoint = accepting.start()
        val upstream = settings.name.takeIf { sidecar != null }
        val peers = ControlPeers(control, follower, scope, upstream, role?.links, ::drainInBackground)
        peers.sidecar = sidecar
        settings.peers.values.forEach { endpoint ->
            clients +=
                LinkClient(endpoint, hello, peers, ::heartbeat, clock, Random(random.nextLong())).also { it.start() }
        }
        scope.launch { readSettings() }
        sidecar?.start()
        entry?.start()
        if (entry == null) server = httpServer().also { it.start().await() }
        events.record("daemon-started", "instance" to settings.name, "roles" to settings.roles.joinToString("+"))
    }

    /** Stops gracefully: no new work is accepted, work in flight finishes, links close. Repeated calls do nothing. */
    public suspend fun drain() {
        if (!drainStarted.compareAndSet(false, true)) return
        draining = true
        events.record("daemon-draining", "instance" to settings.name)
        entry?.drain()
        sidecar?.drain()
        clients.forEach { it.stop("draining") }
        linkServer?.stop("draining")
        close()
        events.record("daemon-stopped", "instance" to settings.name)
        isStopped = true
    }

    /** Stops at once. */
    override fun close() {
        draining = true
        entry?.close()
        sidecar?.close()
        clients.forEach { it.close() }
        linkServer?.close()
        role?.close()
        server?.closeAsync()
        scope.cancel()
    }

    private fun createSidecar() =
        Sidecar(settings, follower, control, policies.sidecar(LedgerClient(control)), events, clock, random)

    private fun createEntry() = Entry(
        settings = settings,
        inForce = follower,
        control = control,
        events = events,
        clock = clock,
        random = random,
        incarnation = incarnation,
        policies = policies.entry(),
        listenForPeers = false,
        configure = { builder ->
            role?.configure(builder)
            configure(builder)
        },
    )

    /** The scope of the daemon ends with the drain, so that the drain runs in a scope of its own. */
    private fun drainInBackground() {
        CoroutineScope(Dispatchers.Default).launch { drain() }
    }

    private suspend fun readSettings() {
        while (scope.isActive && !follower.readFromGroup()) delay(SETTINGS_RETRY)
    }

    private fun heartbeat() = HeartbeatContent(
        draining = draining || (sidecar?.isDraining ?: false),
        settingsRevision = role?.revision ?: follower.revision,
        load = sidecar?.load(),
    )

    private fun httpServer(): Server = Server.builder()
        .http(InetSocketAddress(settings.listenHost, settings.httpPort))
        .service("/health/live") { _, _ -> HttpResponse.of(HttpStatus.OK) }
        .service("/health/ready") { _, _ ->
            HttpResponse.of(if (isReady) HttpStatus.OK else HttpStatus.SERVICE_UNAVAILABLE)
        }
        .also { role?.configure(it) }
        .also(configure)
        .build()

    private companion object {
        val SETTINGS_RETRY = 200.milliseconds
    }
}
