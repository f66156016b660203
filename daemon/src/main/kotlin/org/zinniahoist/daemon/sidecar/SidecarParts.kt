package org.zinniahoist.daemon.sidecar

import kotlinx.coroutines.CoroutineScope
import org.zinniahoist.daemon.control.ControlClient
import org.zinniahoist.daemon.control.LedgerClient
import org.zinniahoist.daemon.timeline.EventRecorder
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.settings.DaemonSettings
import org.zinniahoist.settings.UpstreamKind
import org.zinniahoist.wire.LoadReport
import kotlin.random.Random

/** The objects that make up a sidecar. */
internal class SidecarParts(
    settings: DaemonSettings,
    control: ControlClient,
    ledger: LedgerClient,
    policies: SidecarPolicies,
    events: EventRecorder,
    clock: () -> Moment,
    random: Random,
    scope: CoroutineScope,
    load: () -> LoadReport,
) {
    private val upstream = requireNotNull(settings.upstream) { "the role sidecar needs an upstream" }
    private val model = (upstream.kind as? UpstreamKind.ModelEngine)?.model

    val state: UpstreamState = UpstreamState(isEngine = model != null)
    val client: UpstreamClient = UpstreamClient(upstream.endpoint, state.isEngine)
    val health: HealthMonitor = HealthMonitor(policies.health, client, state, events, clock)
    val gate: AdmissionGate = AdmissionGate(policies.queue, policies.limiter, state, clock)
    private val engine = EngineControl(client, model ?: ModelName(""))
    val orders: OrderExecutor = OrderExecutor(settings.name, control, engine, state, events, clock)
    val monitor: UpstreamMonitor = UpstreamMonitor(state, health, engine, orders, events, clock)
    val crashes: CrashDetector =
        CrashDetector(policies.crashReports, state, health::isAlive, { monitor.onRestart() }, events, scope, clock)
    val claims: Claims = Claims(ledger, scope, events, random)
    private val relay = UpstreamRelay(client, state, gate, crashes, health, clock)
    val runner: AttemptRunner = AttemptRunner(
        client,
        gate,
        crashes,
        policies.crashReports,
        relay,
        ClaimedRun(claims, state.isEngine, load),
        clock,
    )
}
