package org.zinniahoist.daemon.control

import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import org.zinniahoist.wire.LinkMessage
import java.util.concurrent.ConcurrentHashMap

/** Keeps what daemons say of themselves in the heartbeats that reach a control replica. */
public class EngineObserver(private val clock: () -> Moment) {
    private val processes = ConcurrentHashMap<InstanceName, ObservedProcess>()

    /** Records a heartbeat of [peer]. */
    public fun onHeartbeat(peer: LinkMessage.Hello, heartbeat: LinkMessage.Heartbeat) {
        processes[peer.instance] = ObservedProcess(peer, heartbeat, clock())
    }

    /** Forgets [peer], unless it has opened a later link. */
    public fun onClosed(peer: LinkMessage.Hello) {
        processes.computeIfPresent(peer.instance) { _, known -> known.takeIf { it.hello != peer } }
    }

    /** The processes with an open link to this replica. */
    public fun observed(): List<ObservedProcess> = processes.values.sortedBy { it.hello.instance.value }
}

/** What a process said in its last heartbeat. */
public data class ObservedProcess(
    public val hello: LinkMessage.Hello,
    public val heartbeat: LinkMessage.Heartbeat,
    public val receivedAt: Moment,
)
