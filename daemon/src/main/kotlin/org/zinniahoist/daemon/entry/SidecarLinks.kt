package org.zinniahoist.daemon.entry

import org.zinniahoist.daemon.timeline.EventRecorder
import org.zinniahoist.daemon.timeline.record
import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.policy.liveness.AvailabilityTracker
import org.zinniahoist.policy.routing.AttemptOutcome
import org.zinniahoist.policy.routing.LoadDigest
import org.zinniahoist.policy.routing.Router
import org.zinniahoist.policy.routing.RoutingDecision
import org.zinniahoist.policy.routing.RoutingRequest
import org.zinniahoist.wire.AttemptMessage
import org.zinniahoist.wire.LinkCloseCause
import org.zinniahoist.wire.LinkConnection
import org.zinniahoist.wire.LinkHandler
import org.zinniahoist.wire.LinkMessage
import org.zinniahoist.wire.LoadReport
import org.zinniahoist.wire.Message
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/** The links to sidecars with the attempts on them, and the routers over them. */
internal class SidecarLinks(
    private val newRouter: () -> Router,
    private val leaving: AvailabilityTracker,
    private val events: EventRecorder,
    private val clock: () -> Moment,
    private val random: Random,
) : LinkHandler {
    private val routers = ConcurrentHashMap<RouteTarget, Router>()
    private val sidecars = ConcurrentHashMap<InstanceName, Sidecar>()

    /** Models that a sidecar has announced since the entry started. */
    val models: Set<ModelName> get() = routers.keys.filterIsInstance<RouteTarget.Model>().map { it.name }.toSet()

    /** Number of upstreams that take new work. */
    val availableUpstreams: Int get() = sidecars.values.count { it.available }

    /** Reports of the sidecars of [target] that take work. */
    fun reports(target: RouteTarget): List<LoadReport> =
        sidecars.values.filter { it.target == target && it.available }.map { it.load }

    fun route(target: RouteTarget, request: RoutingRequest): InstanceName? {
        val router = routers[target] ?: return null
        return synchronized(router) {
            val now = clock()
            val first = router.route(request, now, random)
            // An upstream that refused before is better than none.
            val decision = if (first is RoutingDecision.NoUpstream && request.excluded.isNotEmpty()) {
                router.route(request.copy(excluded = emptySet()), now, random)
            } else {
                first
            }
            (decision as? RoutingDecision.Routed)?.instance?.also { router.onStart(it) }
        }
    }

    /** Starts an attempt on [instance]. Returns null if the start was not sent, so that nothing can have run. */
    suspend fun start(instance: InstanceName, message: (Long) -> AttemptMessage.StartAttempt): Attempt? {
        val sidecar = sidecars[instance] ?: return null
        val start = message(sidecar.link.lastHeartbeatReceived)
        val attempt = Attempt(start.attempt, instance, sidecar.link)
        sidecar.attempts[start.attempt] = attempt
        val sent = sidecar.link.send(start)
        // A link that closed before the attempt was known to it would otherwise leave the attempt without an end.
        if (!sent) sidecar.attempts.remove(start.attempt)
        if (sent && sidecars[instance] !== sidecar) attempt.onLost("link closed")
        return attempt.takeIf { sent }
    }

    fun finish(target: RouteTarget, attempt: Attempt, outcome: AttemptOutcome) {
        sidecars[attempt.sidecar]?.attempts?.remove(attempt.identifier)
        onEnd(target, attempt.sidecar, outcome)
    }

    fun onEnd(target: RouteTarget, instance: InstanceName, outcome: AttemptOutcome) {
        routers[target]?.let { synchronized(it) { it.onEnd(instance, outcome, clock()) } }
    }

    /** Asks again which sidecars may get work. Heartbeats do so for their own sidecar. */
    fun refresh() {
        val now = clock()
        sidecars.values.forEach { sidecar -> routers[sidecar.target]?.let { refresh(sidecar, it, now) } }
    }

    override fun onOpen(link: LinkConnection) {
        val upstream = link.peer.upstream ?: return link.close("no upstream")
        val target = RouteTarget.of(upstream)
        val name = link.peer.instance
        sidecars[name] = Sidecar(link, target)
        locked(leaving) { onLinkOpen(name, link.peer.incarnation, clock()) }
        locked(routers.computeIfAbsent(target) { newRouter() }) {
            add(name, link.peer.failureDomain)
            setAvailable(name, false)
        }
        events.record("link-open", "instance" to name, "incarnation" to link.peer.incarnation.value)
    }

    override suspend fun onMessage(link: LinkConnection, message: Message) {
        val sidecar = sidecars[link.peer.instance]?.takeIf { it.link === link } ?: return
        when (message) {
            is LinkMessage.Heartbeat -> onHeartbeat(sidecar, message)
            is AttemptMessage.AttemptChunk -> sidecar.attempts[message.attempt]?.onChunk(message)
            is AttemptMessage.AttemptEnd -> {
                sidecar.attempts.remove(message.attempt)?.onEnd(message)
                message.load?.let { report(sidecar, it) }
            }

            else -> link.close("unexpected message")
        }
    }

    override fun onClosed(link: LinkConnection, cause: LinkCloseCause) {
        val name = link.peer.instance
        val sidecar = sidecars[name]?.takeIf { it.link === link } ?: return
        sidecars.remove(name)
        locked(leaving) { onLinkClosed(name, clock()) }
        routers[sidecar.target]?.let { locked(it) { setAvailable(name, false) } }
        sidecar.attempts.values.forEach { it.onLost("$cause") }
        events.record("link-closed", "instance" to name, "cause" to cause)
    }

    private fun onHeartbeat(sidecar: Sidecar, heartbeat: LinkMessage.Heartbeat) {
        val now = clock()
        locked(leaving) { onHeartbeat(sidecar.name, heartbeat.draining, now) }
        sidecar.draining = heartbeat.draining
        heartbeat.load?.let { report(sidecar, it) }
        sidecar.heard = true
        routers[sidecar.target]?.let { refresh(sidecar, it, now) }
    }

    private fun report(sidecar: Sidecar, load: LoadReport) {
        sidecar.load = load
        val digest = LoadDigest(load.running, load.waiting, load.concurrencyLimit, load.serviceMilliseconds)
        routers[sidecar.target]?.let { locked(it) { onReport(sidecar.name, digest, clock()) } }
    }

    private fun refresh(sidecar: Sidecar, router: Router, now: Moment) {
        val accepts = locked(leaving) { acceptsWork(sidecar.name, now) }
        val available = accepts && sidecar.heard && !sidecar.draining && sidecar.load.available
        if (sidecar.available == available) return
        sidecar.available = available
        locked(router) { setAvailable(sidecar.name, available) }
    }

    private inline fun <T : Any, R> locked(subject: T, action: T.() -> R): R = synchronized(subject) {
        subject.action()
    }

    private class Sidecar(
        val link: LinkConnection,
        val target: RouteTarget,
    ) {
        val name: InstanceName get() = link.peer.instance
        val attempts = ConcurrentHashMap<AttemptIdentifier, Attempt>()

        @Volatile var heard = false

        @Volatile var draining = false

        @Volatile var available = false

        @Volatile var load = LoadReport()
    }
}
