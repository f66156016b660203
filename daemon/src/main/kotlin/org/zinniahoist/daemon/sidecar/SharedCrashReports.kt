package org.zinniahoist.daemon.sidecar

import kotlinx.coroutines.delay
import org.zinniahoist.daemon.control.LedgerClient
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import org.zinniahoist.policy.poison.Fingerprint
import org.zinniahoist.policy.poison.PoisonDecision
import org.zinniahoist.state.crashes.CrashLedger
import org.zinniahoist.state.crashes.SuspectStart
import org.zinniahoist.state.ledger.LedgerAnswer
import org.zinniahoist.state.ledger.LedgerCommand
import org.zinniahoist.state.ledger.LedgerQuery
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Shares crash records with the other sidecars of the region through the ledger group [group].
 *
 * Requests that are not suspected start without a call of the group. A crash is answered to the entries only after it
 * is recorded and [propagation] has passed, in which each sidecar reads the records, so that a repeat of the request
 * finds it suspected everywhere. Start of a suspect is a command of the group.
 */
public class SharedCrashReports(
    private val instance: InstanceName,
    private val group: String,
    private val ledger: LedgerClient,
    private val local: CrashReports,
    private val propagation: Duration = DEFAULT_PROPAGATION,
) : CrashReports {
    private val reserved = ConcurrentHashMap.newKeySet<Fingerprint>()

    @Volatile
    private var suspects: Map<Long, Int>? = null

    override suspend fun decide(fingerprint: Fingerprint, now: Moment): PoisonDecision {
        val crashes = known()[fingerprint.value] ?: return local.decide(fingerprint, now)
        return if (crashes >= CrashLedger.MAXIMUM_CRASHES) PoisonDecision.BLOCK else PoisonDecision.ALLOW_SUSPECT
    }

    override suspend fun tryStart(fingerprint: Fingerprint, now: Moment): PoisonDecision {
        val decision = decide(fingerprint, now)
        if (fingerprint.value !in known()) return local.tryStart(fingerprint, now)
        return if (decision == PoisonDecision.ALLOW_SUSPECT) startSuspect(fingerprint, now) else decision
    }

    override suspend fun onEnd(fingerprint: Fingerprint, finished: Boolean, now: Moment) {
        local.onEnd(fingerprint, finished, now)
        if (reserved.remove(fingerprint)) {
            ledger.command(group, LedgerCommand.EndSuspect(fingerprint.value, instance, finished))
        }
    }

    override suspend fun onCrash(inFlight: Set<Fingerprint>, now: Moment) {
        local.onCrash(inFlight, now)
        reserved.removeAll(inFlight)
        if (inFlight.isEmpty()) return
        ledger.command(group, LedgerCommand.ReportCrash(inFlight.mapTo(HashSet()) { it.value }))
        refresh()
        delay(propagation)
    }

    override suspend fun refresh() {
        ledger.query(group, LedgerQuery.ReadSuspects).onRight { answer ->
            if (answer is LedgerAnswer.Suspects) suspects = answer.crashes
        }
    }

    /** The first request after a restart waits for the first read; without control the local records decide. */
    private suspend fun known(): Map<Long, Int> {
        if (suspects == null) refresh()
        return suspects.orEmpty()
    }

    /** Without an answer of the group the suspect waits, because another sidecar may run it. */
    private suspend fun startSuspect(fingerprint: Fingerprint, now: Moment): PoisonDecision {
        val answer = ledger.command(group, LedgerCommand.StartSuspect(fingerprint.value, instance)).getOrNull()
        return when ((answer as? LedgerAnswer.SuspectStarted)?.start) {
            SuspectStart.GRANTED -> startReserved(fingerprint, now)
            SuspectStart.NOT_SUSPECT -> local.tryStart(fingerprint, now)
            SuspectStart.BLOCKED -> PoisonDecision.BLOCK
            SuspectStart.RUNNING, null -> PoisonDecision.WAIT
        }
    }

    private suspend fun startReserved(fingerprint: Fingerprint, now: Moment): PoisonDecision {
        val decision = local.tryStart(fingerprint, now)
        if (decision == PoisonDecision.ALLOW || decision == PoisonDecision.ALLOW_SUSPECT) {
            reserved += fingerprint
            return PoisonDecision.ALLOW_SUSPECT
        }
        ledger.command(group, LedgerCommand.EndSuspect(fingerprint.value, instance, finished = false))
        return decision
    }

    public companion object {
        /** Time between two reads of the records. */
        public val REFRESH_INTERVAL: Duration = 500.milliseconds

        /** Longer than [REFRESH_INTERVAL] and the call that reads. */
        public val DEFAULT_PROPAGATION: Duration = 750.milliseconds
    }
}
