package org.zinniahoist.gateway.core

import org.zinniahoist.gateway.upstream.CrashMonitor
import org.zinniahoist.model.Moment
import org.zinniahoist.policy.poison.Fingerprint
import org.zinniahoist.policy.poison.ObservedCrash
import org.zinniahoist.state.service.CrashRecords
import org.zinniahoist.state.service.CrashReport
import org.zinniahoist.state.service.ServiceCommand
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Records in the log which requests are suspected of crashing upstreams, so that this survives the loss of all
 * processes. Runs on the engine thread of the leader.
 *
 * Each step compares what this process knows with the replicated state, so a lost command is proposed again.
 *
 * @param propose proposes a command; its last argument is called on the engine thread with any reply.
 */
internal class CrashRecorder(
    private val monitor: CrashMonitor,
    private val records: CrashRecords,
    private val clock: () -> Moment,
    private val propose: (ServiceCommand, () -> Unit) -> Unit,
) {
    private var nextStep: Moment? = null

    /** Proposes what the replicated state lacks, with at most one command in flight. */
    fun tick() {
        val now = clock()
        if (nextStep?.let { now < it } == true) return
        nextStep = now + STEP_INTERVAL
        val command = ServiceCommand.RecordCrashes(unrecorded(now), completed())
        if (command.crashes.isEmpty() && command.completed.isEmpty()) return
        nextStep = now + REPLY_TIMEOUT
        propose(command) { nextStep = clock() + STEP_INTERVAL }
    }

    private fun unrecorded(now: Moment): List<CrashReport> = monitor.suspects.values
        .flatten()
        .filter { now - it.at >= RECORDING_DELAY && !records.contains(it.fingerprint.value, it.upstream) }
        .take(MAXIMUM_CRASHES)
        .map { it.toReport(now) }

    private fun ObservedCrash.toReport(now: Moment) =
        CrashReport(fingerprint.value, upstream, (now - at).inWholeMilliseconds)

    private fun completed(): List<Long> = records.byRequest.keys.filter { monitor.isCleared(Fingerprint(it)) }

    private companion object {
        val STEP_INTERVAL = 250.milliseconds

        /** Most of the requests in flight at a crash complete elsewhere within this time and need no record. */
        val RECORDING_DELAY = 500.milliseconds

        /** A command without a reply is proposed again after this time. */
        val REPLY_TIMEOUT = 5.seconds

        /** Number of crashes at which a command is full. */
        const val MAXIMUM_CRASHES = 500
    }
}
