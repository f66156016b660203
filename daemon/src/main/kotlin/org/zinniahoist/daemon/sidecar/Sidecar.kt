package org.zinniahoist.daemon.sidecar

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.zinniahoist.daemon.configuration.ActiveSettings
import org.zinniahoist.daemon.control.ControlClient
import org.zinniahoist.daemon.control.LedgerClient
import org.zinniahoist.daemon.timeline.EventRecorder
import org.zinniahoist.daemon.timeline.record
import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.FailureReason
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RefusalReason
import org.zinniahoist.model.Role
import org.zinniahoist.settings.DaemonSettings
import org.zinniahoist.settings.EffectiveSettings
import org.zinniahoist.wire.AttemptMessage
import org.zinniahoist.wire.ControlMessage
import org.zinniahoist.wire.LinkCloseCause
import org.zinniahoist.wire.LinkConnection
import org.zinniahoist.wire.LinkHandler
import org.zinniahoist.wire.LoadReport
import org.zinniahoist.wire.Message
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The role `sidecar`: the only path to the upstream beside it.
 *
 * Handles links from entries; links to control replicas pass it their [ControlMessage.OrdersUpdate].
 *
 * @throws IllegalArgumentException if [settings] name no upstream.
 */
public class Sidecar(
    private val settings: DaemonSettings,
    private val inForce: ActiveSettings,
    control: ControlClient,
    private val policies: SidecarPolicies,
    private val events: EventRecorder,
    private val clock: () -> Moment,
    random: Random,
    ledger: LedgerClient = LedgerClient(control),
) : LinkHandler,
    AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val parts = SidecarParts(settings, control, ledger, policies, events, clock, random, scope, ::load)
    private val links = ConcurrentHashMap.newKeySet<LinkConnection>()
    private val attempts = ConcurrentHashMap<AttemptKey, ActiveAttempt>()
    private val checks = StartChecks(inForce, parts.orders, parts.state, settings.limits.concurrency)

    /** Whether the sidecar takes no new work and says so in its heartbeats. */
    @Volatile
    public var isDraining: Boolean = false
        private set

    /** Whether the sidecar takes new work. */
    public val isReady: Boolean
        get() = !isDraining && inForce.settings != null && parts.orders.isRead && parts.state.isAvailable

    /** Load report for heartbeats. */
    public fun load(): LoadReport = parts.gate.load(isReady)

    /** Starts reading orders and watching the upstream. Attempts are refused until both have succeeded. */
    public fun start() {
        scope.launch { repeatEvery(TICK) { tick() } }
        scope.launch { repeatEvery(REFRESH_INTERVAL) { parts.monitor.refresh() } }
        scope.launch { repeatEvery(ORDERS_INTERVAL) { parts.orders.read() } }
        scope.launch { repeatEvery(SharedCrashReports.REFRESH_INTERVAL) { policies.crashReports.refresh() } }
    }

    /** Stops gracefully: refuses new work, lets attempts and the reports of their outcomes finish, closes links. */
    public suspend fun drain() {
        isDraining = true
        events.record("drain-started", "attempts" to attempts.size)
        val limit = clock() + (inForce.settings ?: EffectiveSettings()).drainTimeBound
        while ((attempts.isNotEmpty() || parts.claims.unresolved > 0) && clock() < limit) delay(TICK)
        events.record("drain-ended", "attempts" to attempts.size, "claims" to parts.claims.unresolved)
        links.forEach { it.close("drained") }
    }

    override fun close() {
        isDraining = true
        links.forEach { it.close("closed") }
        scope.cancel()
        parts.client.close()
    }

    override fun onOpen(link: LinkConnection) {
        links += link
    }

    override suspend fun onMessage(link: LinkConnection, message: Message) {
        when (message) {
            is AttemptMessage.StartAttempt -> accept(link, message)
            is AttemptMessage.CancelAttempt -> attempts[AttemptKey(link, message.attempt)]?.stop(StopCause.CANCELLED)
            is AttemptMessage.Credit -> attempts[AttemptKey(link, message.attempt)]?.credit?.grant(message.frames)
            is ControlMessage.OrdersUpdate -> acceptOrders(link, message)
            else -> Unit
        }
    }

    override fun onClosed(link: LinkConnection, cause: LinkCloseCause) {
        links -= link
        attempts.values.filter { it.belongsTo(link) }.forEach { it.stop(StopCause.LINK_LOST) }
    }

    /** Entries must not give orders, as an engine can't tell who gave them. */
    private fun acceptOrders(link: LinkConnection, update: ControlMessage.OrdersUpdate) {
        if (Role.CONTROL in link.peer.roles) {
            scope.launch { parts.orders.offer(update.content) }
        } else {
            events.record("orders-refused", "peer" to link.peer.instance)
        }
    }

    private fun accept(link: LinkConnection, start: AttemptMessage.StartAttempt) {
        val now = clock()
        val maximum = (inForce.settings ?: EffectiveSettings()).limits.maximumBudget
        val budget = minOf(start.budgetMilliseconds.milliseconds, maximum)
        val attempt = ActiveAttempt(link, start, deadline = now + budget, limit = now + maximum)
        val refusal = checks.refusal(link, start, StartChecks.Present(now, isDraining, attempts.size))
        if (refusal != null) {
            scope.launch { finish(attempt, refusal) }
            return
        }
        val key = AttemptKey(link, start.attempt)
        if (attempts.putIfAbsent(key, attempt) != null) {
            events.record("attempt-repeated", "attempt" to start.attempt)
            return
        }
        scope.launch {
            try {
                finish(attempt, run(attempt))
            } finally {
                attempts.remove(key)
            }
        }
    }

    private suspend fun run(attempt: ActiveAttempt): AttemptOutcome = try {
        parts.runner.run(attempt)
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (failure: Exception) {
        events.record("attempt-failed", "attempt" to attempt.start.attempt, "cause" to failure.toString())
        if (attempt.exchange == null) {
            AttemptOutcome.notRun(RefusalReason.NO_UPSTREAM, failure.toString())
        } else {
            AttemptOutcome.mayHaveRun(FailureReason.OUTCOME_UNKNOWN, failure.toString())
        }
    }

    private suspend fun finish(attempt: ActiveAttempt, outcome: AttemptOutcome) {
        events.record(
            "attempt-ended",
            "attempt" to attempt.start.attempt,
            "request" to attempt.start.request,
            "trace" to attempt.start.traceParent,
            "verdict" to outcome.verdict,
        )
        attempt.end(outcome, load())
    }

    private fun tick() {
        val now = clock()
        attempts.values.forEach { it.checkTime(now) }
        parts.gate.tick()
        parts.health.check(parts.crashes.attempts, scope)
    }

    private suspend fun repeatEvery(interval: Duration, action: suspend () -> Unit) {
        while (true) {
            try {
                action()
            } catch (cancelled: CancellationException) {
                throw cancelled
            } catch (failure: Exception) {
                events.record("sidecar-task-failed", "cause" to failure.toString())
            }
            delay(interval)
        }
    }

    private data class AttemptKey(
        val link: LinkConnection,
        val attempt: AttemptIdentifier,
    )

    private companion object {
        val TICK = 50.milliseconds
        val REFRESH_INTERVAL = 500.milliseconds
        val ORDERS_INTERVAL = 2.seconds
    }
}
