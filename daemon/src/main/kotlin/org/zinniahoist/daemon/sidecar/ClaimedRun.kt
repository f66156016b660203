package org.zinniahoist.daemon.sidecar

import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import org.zinniahoist.model.FailureReason
import org.zinniahoist.model.RefusalReason
import org.zinniahoist.model.Verdict
import org.zinniahoist.state.idempotency.ClaimResult
import org.zinniahoist.state.idempotency.StoredOutcome
import org.zinniahoist.wire.LoadReport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Runs calls that must run at most once: claims the key before the first byte and stores the outcome. */
internal class ClaimedRun(
    private val claims: Claims,
    private val isEngine: Boolean,
    private val load: () -> LoadReport,
) {
    /** Runs an attempt that holds its slot. */
    suspend fun run(run: AttemptRunner.AttemptRun): AttemptOutcome {
        val terms = checkNotNull(run.attempt.start.idempotency)
        val claim = claims.open(terms)
            ?: return AttemptOutcome.notRun(RefusalReason.CONTROL_UNAVAILABLE, "too many claims are unresolved")
        var pause = FIRST_PAUSE
        var isHeldByOther = false
        while (true) {
            val result = requestUntilStopped(run.attempt, claim)
            if (result != null && result != ClaimResult.InProgress) return settle(run, claim, result)
            isHeldByOther = isHeldByOther || result == ClaimResult.InProgress
            if (!isHeldByOther || run.attempt.stopped.isCompleted) return giveUp(run.attempt, claim, isHeldByOther)
            run.slot.release()
            withTimeoutOrNull(pause) { run.attempt.stopped.await() }
            pause = minOf(pause * 2, LONGEST_PAUSE)
        }
    }

    /** Returns null if the ledger gave no answer or the attempt was stopped. */
    private suspend fun requestUntilStopped(attempt: ActiveAttempt, claim: Claims.Claim): ClaimResult? =
        coroutineScope {
            val request = async { claim.request() }
            select {
                request.onAwait { it }
                attempt.stopped.onAwait {
                    request.cancelAndJoin()
                    null
                }
            }
        }

    /** The claim may be on its way to the ledger, so it is released even if no grant was seen. */
    private suspend fun giveUp(attempt: ActiveAttempt, claim: Claims.Claim, isHeldByOther: Boolean): AttemptOutcome {
        claim.release()
        return when {
            isHeldByOther -> AttemptOutcome.mayHaveRun(FailureReason.KEY_IN_PROGRESS)
            attempt.stopped.isCompleted -> AttemptOutcome.stoppedBeforeRun(attempt.stopped.await())
            else -> AttemptOutcome.notRun(RefusalReason.CONTROL_UNAVAILABLE)
        }
    }

    private suspend fun settle(
        run: AttemptRunner.AttemptRun,
        claim: Claims.Claim,
        result: ClaimResult,
    ): AttemptOutcome {
        if (result == ClaimResult.Granted) return runGranted(run, claim)
        claim.forget()
        run.slot.release()
        return when (result) {
            is ClaimResult.Completed -> replay(run.attempt, result.outcome)
            ClaimResult.BodyConflict -> AttemptOutcome.notRun(RefusalReason.KEY_CONFLICT)
            ClaimResult.RunReleased -> AttemptOutcome.notRun(RefusalReason.CANCELLED)
            ClaimResult.OutcomeUnknown, ClaimResult.InProgress, ClaimResult.Granted ->
                AttemptOutcome.mayHaveRun(FailureReason.OUTCOME_UNKNOWN)
        }
    }

    private suspend fun runGranted(run: AttemptRunner.AttemptRun, claim: Claims.Claim): AttemptOutcome {
        val refusal = (if (run.slot.isHeld) null else run.slot.acquire()) ?: run.begin()
        if (refusal != null) {
            claim.release()
            return refusal
        }
        val result = callToEnd(run)
        when (result) {
            is CallResult.Answered -> store(claim, result)
            is CallResult.NotSent -> claim.release()
            is CallResult.Broken -> claim.markUnknown()
        }
        return AttemptRunner.outcomeOf(result)
    }

    /** Lets the call run to its end, also if its caller has given up, so that the outcome gets known. */
    private suspend fun callToEnd(run: AttemptRunner.AttemptRun): CallResult = coroutineScope {
        val call = async(start = CoroutineStart.UNDISPATCHED) { run.call() }
        val stop = select {
            call.onAwait { null }
            run.attempt.stopped.onAwait { it }
        }
        if (stop != null) run.attempt.end(AttemptOutcome.stoppedAfterStart(stop), load())
        call.await()
    }

    private suspend fun store(claim: Claims.Claim, answer: CallResult.Answered) {
        val body = answer.body
        if (body ==
            null
        ) {
            claim.markUnknown()
        } else {
            claim.complete(StoredOutcome(answer.status, answer.contentType, body))
        }
    }

    private suspend fun replay(attempt: ActiveAttempt, outcome: StoredOutcome): AttemptOutcome {
        val decoder = AnswerDecoder.of(isEngine, outcome.contentType)
        decoder.accept(outcome.body).forEach { attempt.deliver(it) }
        if (attempt.stopped.isCompleted) return AttemptOutcome.stoppedAfterStart(attempt.stopped.await())
        return AttemptOutcome(Verdict.Completed, outcome.status, outcome.contentType, decoder.label)
    }

    private companion object {
        /** Pauses between questions for the outcome of another run. Each question is an entry in the ledger's log. */
        val FIRST_PAUSE: Duration = 50.milliseconds
        val LONGEST_PAUSE: Duration = 800.milliseconds
    }
}
