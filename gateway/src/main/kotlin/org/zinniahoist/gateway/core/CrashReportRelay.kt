package org.zinniahoist.gateway.core

import org.zinniahoist.gateway.link.toEvidence
import org.zinniahoist.gateway.link.toReport
import org.zinniahoist.gateway.upstream.CrashMonitor
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Role
import org.zinniahoist.policy.poison.CrashEvidence
import org.zinniahoist.policy.poison.Fingerprint
import org.zinniahoist.policy.poison.ObservedCrash
import org.zinniahoist.state.service.RecordedCrash
import org.zinniahoist.wire.LinkConnection
import org.zinniahoist.wire.ServiceMessage
import kotlin.time.Duration.Companion.milliseconds

/**
 * Passes reports of upstream crashes between processes, and sends all that is known to those that connect later.
 *
 * Each replica does this by itself, so reports arrive without a leader too. An entry sends all that it knows when it
 * connects, from which a replica that was restarted learns them again. Thread-safe.
 */
internal class CrashReportRelay(
    private val monitor: CrashMonitor,
    private val clock: () -> Moment,
) {
    private val inbound = LinkedHashSet<LinkConnection>()

    /** Sends the known reports on [link], which another process has opened. */
    @Synchronized
    fun onOpen(link: LinkConnection) {
        inbound += link
        val known = monitor.evidence
        if (!known.isEmpty) link.offer(known.toReport(clock()))
    }

    /** Stops sending reports to [link]. */
    @Synchronized
    fun onClosed(link: LinkConnection) {
        inbound -= link
    }

    /**
     * Handles [report], received on [link]. Sends on what is new in it if an entry sent it; replicas send theirs to the
     * entries themselves.
     */
    fun onReport(link: LinkConnection, report: ServiceMessage.Crashes) {
        val added = monitor.onEvidence(report.toEvidence(clock()))
        if (Role.ENTRY in link.peer.roles) send(added, except = link)
    }

    /**
     * Takes over the crashes that the replicated state [records], and sends on those that this process did not know.
     * [wallMilliseconds] is the present time on the clock of the log.
     */
    fun restore(records: List<RecordedCrash>, wallMilliseconds: Long) {
        if (records.isEmpty()) return
        val now = clock()
        val restored = records.map {
            // The clock of the leader that recorded the crash may be ahead of the one of this machine.
            val age = (wallMilliseconds - it.timeMilliseconds).coerceAtLeast(0)
            ObservedCrash(Fingerprint(it.fingerprint), it.upstream, now - age.milliseconds, isRestored = true)
        }
        publish(monitor.onEvidence(CrashEvidence(restored)))
    }

    /** Sends [evidence] of this process to all others. */
    fun publish(evidence: CrashEvidence): Unit = send(evidence, except = null)

    @Synchronized
    private fun send(evidence: CrashEvidence, except: LinkConnection?) {
        if (evidence.isEmpty) return
        val report = evidence.toReport(clock())
        inbound.filter { it !== except }.forEach { it.offer(report) }
    }
}
