package org.zinniahoist.daemon.sidecar

import com.linecorp.armeria.common.HttpRequest
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RefusalReason
import org.zinniahoist.model.Verdict
import org.zinniahoist.policy.poison.PoisonDecision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Takes an accepted attempt through admission, claim and upstream. */
internal class AttemptRunner(
    private val client: UpstreamClient,
    private val gate: AdmissionGate,
    private val crashes: CrashDetector,
    private val reports: CrashReports,
    private val relay: UpstreamRelay,
    private val claimed: ClaimedRun,
    private val clock: () -> Moment,
) {
    /** Runs an attempt and returns how it ended. */
    suspend fun run(attempt: ActiveAttempt): AttemptOutcome {
        val request = client.prepare(attempt.start)
            ?: return AttemptOutcome.notRun(RefusalReason.UNKNOWN_ROUTE, "method or path is not allowed")
        if (reports.decide(attempt.fingerprint, clock()) == PoisonDecision.BLOCK) return POISONED
        val run = AttemptRun(attempt, gate.slotFor(attempt), request)
        return try {
            run.slot.acquire() ?: if (attempt.start.idempotency == null) run.callOnce() else claimed.run(run)
        } finally {
            run.slot.release()
        }
    }

    /** One attempt with what it needs at the upstream. */
    inner class AttemptRun(
        val attempt: ActiveAttempt,
        val slot: AdmissionGate.Slot,
        private val request: HttpRequest,
    ) {
        /** Waits until the request may be given to the upstream. Returns null then, or why it may not. */
        suspend fun begin(): AttemptOutcome? {
            while (true) {
                if (attempt.stopped.isCompleted) return AttemptOutcome.stoppedBeforeRun(attempt.stopped.await())
                when (crashes.tryStart(attempt)) {
                    PoisonDecision.ALLOW, PoisonDecision.ALLOW_SUSPECT -> return null
                    PoisonDecision.BLOCK -> return POISONED
                    PoisonDecision.WAIT -> pause()?.let { return it }
                }
            }
        }

        /** Gives the request to the upstream, after [begin]. */
        suspend fun call(): CallResult = relay.call(attempt, slot, request)

        /** Gives the request to the upstream until its answer is no longer wanted. */
        suspend fun callOnce(): AttemptOutcome = begin() ?: coroutineScope {
            val call = async(start = CoroutineStart.UNDISPATCHED) { call() }
            val stop = select {
                call.onAwait { null }
                attempt.stopped.onAwait { it }
            }
            if (stop == null) {
                outcomeOf(call.await())
            } else {
                call.cancelAndJoin()
                AttemptOutcome.stoppedAfterStart(stop)
            }
        }

        private suspend fun pause(): AttemptOutcome? {
            slot.release()
            val stop = withTimeoutOrNull(SUSPECT_PAUSE) { attempt.stopped.await() }
            return if (stop != null) AttemptOutcome.stoppedBeforeRun(stop) else slot.acquire()
        }
    }

    companion object {
        private val POISONED = AttemptOutcome.notRun(RefusalReason.POISONED)

        /** Time after which a request that waits for the run of a suspect is looked at again. */
        private val SUSPECT_PAUSE: Duration = 100.milliseconds

        fun outcomeOf(result: CallResult): AttemptOutcome = when (result) {
            is CallResult.Answered ->
                AttemptOutcome(Verdict.Completed, result.status, result.contentType, result.label)

            is CallResult.NotSent -> AttemptOutcome.notRun(RefusalReason.NO_UPSTREAM, result.detail)
            is CallResult.Broken -> AttemptOutcome.mayHaveRun(result.reason, result.detail)
        }
    }
}
