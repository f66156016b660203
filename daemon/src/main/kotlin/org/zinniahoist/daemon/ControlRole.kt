package org.zinniahoist.daemon

import com.linecorp.armeria.server.ServerBuilder
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.zinniahoist.daemon.control.ControlClient
import org.zinniahoist.daemon.control.ControlGroups
import org.zinniahoist.daemon.control.ControlHttp
import org.zinniahoist.daemon.control.ControlLinks
import org.zinniahoist.daemon.control.EngineObserver
import org.zinniahoist.daemon.control.GroupName
import org.zinniahoist.daemon.control.ObservedProcess
import org.zinniahoist.daemon.control.RolloutCoordinator
import org.zinniahoist.daemon.control.SettingsPublisher
import org.zinniahoist.daemon.timeline.EventRecorder
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Revision
import org.zinniahoist.policy.rollout.WavePlanner
import org.zinniahoist.settings.DaemonSettings
import org.zinniahoist.state.coordination.CoordinationStateMachine
import org.zinniahoist.state.report.GroupReport
import org.zinniahoist.state.report.ProcessLoad
import org.zinniahoist.state.report.ProcessReport
import org.zinniahoist.state.report.StatusReport
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The role `control`: replicas of the durable state, distribution of settings, rollouts. */
internal class ControlRole(
    private val settings: DaemonSettings,
    private val client: ControlClient,
    events: EventRecorder,
    private val clock: () -> Moment,
    private val scope: CoroutineScope,
) : AutoCloseable {
    private val publisher = SettingsPublisher()
    private val rollout: RolloutCoordinator
    val observer: EngineObserver = EngineObserver(clock)
    val links: ControlLinks = ControlLinks(publisher, scope)
    private var groups: ControlGroups? = null

    init {
        rollout = RolloutCoordinator(client, observer, WavePlanner(), events)
    }

    /** Revision of the latest committed tree on this replica. */
    val revision: Revision get() = publisher.revision

    /** Opens the replicas of this instance. */
    fun open() {
        val control = checkNotNull(settings.control) { "role control without section [control]" }
        val folder = Path.of(checkNotNull(settings.dataFolder) { "role control without data-folder" })
        val coordination = CoordinationStateMachine(publisher::onCommitted, links::onDrainingChanged)
        val opened = ControlGroups.open(settings.name, control, folder, coordination, links::transport)
            .fold({ throw DaemonStartFailure(it.message) }, { it })
        groups = opened
        links.serve(opened)
        scope.launch { repeat(NOTIFY_INTERVAL) { links.notifySubscribers() } }
        scope.launch { repeat(ROLLOUT_INTERVAL) { if (leadsSettings()) rollout.step(clock()) } }
    }

    /** Adds the operators' interface to the HTTP server. */
    fun configure(builder: ServerBuilder): Unit = ControlHttp(client, ::status).configure(builder)

    override fun close() {
        groups?.close()
    }

    private fun status(): StatusReport {
        val now = clock()
        return StatusReport.of(
            reporter = settings.name,
            timeMilliseconds = System.currentTimeMillis(),
            revision = revision,
            groups = groups?.statuses().orEmpty().map { (name, status) -> GroupReport.of(name, status) },
            processes = observer.observed().map { process(it, now) },
        )
    }

    private fun process(observed: ObservedProcess, now: Moment) = ProcessReport(
        instance = observed.hello.instance,
        roles = observed.hello.roles,
        revision = observed.heartbeat.settingsRevision,
        draining = observed.heartbeat.draining,
        load = observed.heartbeat.load?.let { ProcessLoad(it.running, it.waiting) },
        heartbeatAgeMilliseconds = (now - observed.receivedAt).inWholeMilliseconds,
    )

    private fun leadsSettings(): Boolean = groups?.statuses()?.get(GroupName.SETTINGS)?.isLeader ?: false

    private suspend fun repeat(interval: Duration, action: suspend () -> Unit) {
        while (true) {
            action()
            delay(interval)
        }
    }

    private companion object {
        /** Changes of the tree within this time travel as one delta. */
        val NOTIFY_INTERVAL = 100.milliseconds
        val ROLLOUT_INTERVAL = 500.milliseconds
    }
}

/** The daemon can't start; [message] says why and is meant for the operator. */
public class DaemonStartFailure(message: String) : Exception(message)
