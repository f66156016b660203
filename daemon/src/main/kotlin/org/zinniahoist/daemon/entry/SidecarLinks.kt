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

/** Manages the links to sidecars, the attempts on each link, and a router per model or plain service. */
internal class SidecarLinks(
    private val newRouter: () -> Router,
    private val leaving: AvailabilityTracker,
    private val events: EventRecorder,
    private val clock: () -> Moment,
    private val random: Random,
) : LinkHandler {
    private val routers = ConcurrentHashMap<RouteTarget, Router>()
    private val sidecars = ConcurrentHashMap<InstanceName, Sidecar>()

    /** Models that sidecars have announced since the entry started. */
    val models: Set<ModelName> get() = routers.keys.filterIsInstance<RouteTarget.Model>().map { it.name }.toSet()

    /** Number of upstreams that accept new attempts. */
    val availableUpstreams: Int get() = sidecars.values.count { it.available }

    /** Returns the latest load reports of the sidecars of [target] that accept new attempts. */
    fun reports(target: RouteTarget): List<LoadReport> =
        sidecars.values.filter { it.target == target && it.available }.map { it.load }

    fun route(target: RouteTarget, request: RoutingRequest): InstanceName? {
        val router = routers[target] ?: return null
        return synchronized(router) {
            val now = clock()
            val first = router.route(request, now, random)
            // Falls back to upstreams that were tried before, as one of them may accept the retry.
            val decision = if (first is RoutingDecision.NoUpstream && request.excluded.isNotEmpty()) {
                router.route(request.copy(excluded = emptySet()), now, random)
            } else {
                first
            }
            (decision as? RoutingDecision.Routed)?.instance?.also { router.onStart(it) }
        }
    }

    /** Starts an attempt on [instance]. Returns null if the start message was not sent, so nothing can have run. */
    suspend fun start(instance: InstanceName, message: (Long) -> AttemptMessage.StartAttempt): Attempt? {
        val sidecar = sidecars[instance] ?: return null
        val start = message(sidecar.link.lastHeartbeatReceived)
        val attempt = Attempt(start.attempt, instance, sidecar.link)
        sidecar.attempts[start.attempt] = attempt
        val sent = sidecar.link.send(start)
        // onClosed misses an attempt that is registered after the link closed; without this it would never end.
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

    /** Recomputes the availability of all sidecars. A heartbeat does so for its own sidecar only. */
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
        sidecar.heartbeatReceived = true
        routers[sidecar.target]?.let { refresh(sidecar, it, now) }
    }

    private fun report(sidecar: Sidecar, load: LoadReport) {
        sidecar.load = load
        val digest = LoadDigest(load.running, load.waiting, load.concurrencyLimit, load.serviceMilliseconds)
        routers[sidecar.target]?.let { locked(it) { onReport(sidecar.name, digest, clock()) } }
    }

    private fun refresh(sidecar: Sidecar, router: Router, now: Moment) {
        val accepts = locked(leaving) { acceptsWork(sidecar.name, now) }
        val available = accepts && sidecar.heartbeatReceived && !sidecar.draining && sidecar.load.available
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

        @Volatile var heartbeatReceived = false

        @Volatile var draining = false

        @Volatile var available = false

        @Volatile var load = LoadReport()
    }
}
