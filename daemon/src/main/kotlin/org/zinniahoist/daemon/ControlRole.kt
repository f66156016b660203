package org.zinniahoist.daemon

import com.linecorp.armeria.server.ServerBuilder
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.zinniahoist.daemon.control.ControlClient
import org.zinniahoist.daemon.control.ControlGroups
import org.zinniahoist.daemon.control.ControlLinks
import org.zinniahoist.daemon.control.EngineObserver
import org.zinniahoist.daemon.control.GroupName
import org.zinniahoist.daemon.control.RolloutCoordinator
import org.zinniahoist.daemon.control.SettingsPublisher
import org.zinniahoist.daemon.timeline.EventRecorder
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Revision
import org.zinniahoist.policy.rollout.WavePlanner
import org.zinniahoist.settings.DaemonSettings
import org.zinniahoist.state.coordination.CoordinationStateMachine
import java.nio.file.Path
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
        val coordination = CoordinationStateMachine(publisher::onCommitted)
        val opened = ControlGroups.open(settings.name, control, folder, coordination, links::transport)
            .fold({ throw DaemonStartFailure(it.message) }, { it })
        groups = opened
        links.serve(opened)
        scope.launch { repeat(NOTIFY_INTERVAL) { links.notifySubscribers() } }
        scope.launch { repeat(ROLLOUT_INTERVAL) { if (leadsSettings()) rollout.step(clock()) } }
    }

    /** Adds the operators' interface to the HTTP server. */
    @Suppress("UnusedParameter")
    fun configure(builder: ServerBuilder) = Unit

    override fun close() {
        groups?.close()
    }

    private fun leadsSettings(): Boolean = groups?.statuses()?.get(GroupName.SETTINGS)?.isLeader ?: false

    private suspend fun repeat(interval: kotlin.time.Duration, action: suspend () -> Unit) {
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
