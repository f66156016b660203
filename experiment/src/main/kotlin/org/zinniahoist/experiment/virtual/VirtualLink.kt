package org.zinniahoist.experiment.virtual

import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.policy.routing.LoadDigest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A link from an entry to a sidecar, which can go silent for good or be cut for a time. */
internal class VirtualLink(
    private val loop: EventLoop,
    private val policies: PolicySet,
    val sidecar: VirtualSidecar,
    private val latency: Duration,
    private val listener: Listener,
) {
    val inFlight = LinkedHashMap<AttemptIdentifier, VirtualAttempt>()
    var digest: LoadDigest? = null
        private set
    var inFlightAtReport = 0
        private set
    var open = true
        private set
    private var silent = false
    private var cut = false
    private var connection = 0
    private var monitor = policies.linkMonitor(loop.now)
    private val delayed = ArrayList<() -> Unit>()

    init {
        loop.every(HEARTBEAT_INTERVAL) { beat() }
    }

    /** Runs [action] on the other side, after a cut if there is one, or never if the link is silent or closes. */
    fun send(action: () -> Unit) {
        val sentOn = connection
        loop.after(latency) {
            when {
                sentOn != connection || silent -> Unit
                cut -> delayed.add { if (sentOn == connection) action() }
                else -> action()
            }
        }
    }

    /** Takes over a report that a heartbeat or the end of an attempt carried. */
    fun report(digest: LoadDigest) {
        this.digest = digest
        inFlightAtReport = inFlight.size
        listener.onReport(this, digest)
    }

    fun goSilent() {
        silent = true
    }

    fun cutFor(time: Duration) {
        cut = true
        loop.after(time) {
            cut = false
            delayed.toList().also { delayed.clear() }.forEach { it() }
        }
    }

    private fun beat() {
        if (!open) return
        send {
            monitor.onFrameReceived(loop.now)
            report(sidecar.digest)
        }
        if (monitor.check(loop.now).close) close()
    }

    private fun close() {
        open = false
        connection += 1
        delayed.clear()
        val lost = inFlight.values.toList()
        inFlight.clear()
        listener.onClosed(this, lost)
        connect()
    }

    private fun connect() {
        loop.after(RECONNECT_DELAY) {
            if (cut) return@after connect()
            silent = false
            open = true
            monitor = policies.linkMonitor(loop.now)
            listener.onOpened(this)
        }
    }

    interface Listener {
        fun onReport(link: VirtualLink, digest: LoadDigest)

        fun onClosed(link: VirtualLink, lost: List<VirtualAttempt>)

        fun onOpened(link: VirtualLink)
    }

    private companion object {
        val HEARTBEAT_INTERVAL = 500.milliseconds
        val RECONNECT_DELAY = 1.seconds
    }
}
