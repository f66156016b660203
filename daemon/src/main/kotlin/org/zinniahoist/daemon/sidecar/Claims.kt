package org.zinniahoist.daemon.sidecar

import arrow.core.Either
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.zinniahoist.daemon.control.LedgerClient
import org.zinniahoist.daemon.timeline.EventRecorder
import org.zinniahoist.daemon.timeline.record
import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.state.idempotency.ClaimResult
import org.zinniahoist.state.idempotency.IdempotencyKey
import org.zinniahoist.state.idempotency.StoredOutcome
import org.zinniahoist.state.ledger.LedgerAnswer
import org.zinniahoist.state.ledger.LedgerCommand
import org.zinniahoist.wire.IdempotencyTerms
import java.util.UUID
import java.util.concurrent.Semaphore
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Claims idempotency keys in the ledger and reports what became of them until the ledger has acknowledged it. */
internal class Claims(
    private val ledger: LedgerClient,
    private val scope: CoroutineScope,
    private val events: EventRecorder,
    private val random: Random,
    private val capacity: Int = MAXIMUM_UNRESOLVED,
) {
    private val permits = Semaphore(capacity)

    /** Number of claims whose end the ledger has not acknowledged. */
    val unresolved: Int get() = capacity - permits.availablePermits()

    /** Returns a claim with a run identifier of its own, or null while too many claims are unresolved. */
    fun open(terms: IdempotencyTerms): Claim? = if (permits.tryAcquire()) Claim(terms) else null

    /** One run's hold on a key. Exactly one of [forget], [release], [complete] and [markUnknown] ends it. */
    inner class Claim(private val terms: IdempotencyTerms) {
        /** [UUID.randomUUID] draws from a secure generator, so a restarted process never draws the same again. */
        private val run = AttemptIdentifier(UUID.randomUUID().toString())

        /** Claims the key, or asks again what became of it. Returns null if the answer is unknown. */
        suspend fun request(): ClaimResult? {
            val key = IdempotencyKey(terms.caller, terms.key)
            return when (val answer = send(LedgerCommand.Claim(key, terms.bodyDigest, run))) {
                is LedgerAnswer.Claimed -> answer.result
                else -> null
            }
        }

        /** The key is another run's, so there is nothing to report. */
        fun forget(): Unit = finish()

        /** Gives the key back in the background. Also defeats a claim that is still on its way. */
        fun release() {
            resolveInBackground(LedgerCommand.Release(run))
        }

        /** Stores the outcome; goes on in the background if the ledger does not answer soon. */
        suspend fun complete(outcome: StoredOutcome): Unit = resolve(LedgerCommand.Complete(run, outcome))

        /** Records that the request was sent and its answer lost. */
        suspend fun markUnknown(): Unit = resolve(LedgerCommand.MarkUnknown(run))

        private suspend fun resolve(command: LedgerCommand) {
            val acknowledged = withTimeoutOrNull(ANSWER_DELAY) { send(command) }
            if (acknowledged is LedgerAnswer.Done) finish() else resolveInBackground(command)
        }

        private fun resolveInBackground(command: LedgerCommand) {
            scope.launch {
                var pause = FIRST_PAUSE
                while (send(command) !is LedgerAnswer.Done) {
                    events.record("claim-unresolved", "command" to command::class.simpleName, "run" to run)
                    delay(pause * (1 + random.nextDouble()))
                    pause = minOf(pause * 2, LONGEST_PAUSE)
                }
                finish()
            }
        }

        private fun finish() {
            permits.release()
        }

        private suspend fun send(command: LedgerCommand): LedgerAnswer? = try {
            when (val answer = ledger.command(terms.ledger, command)) {
                is Either.Right -> answer.value
                is Either.Left -> null
            }
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: Exception) {
            events.record("ledger-call-failed", "run" to run, "cause" to failure.message)
            null
        }
    }

    companion object {
        /** At 64 KiB each, the outcomes of all unresolved claims take at most 64 MiB. */
        const val MAXIMUM_UNRESOLVED: Int = 1_024

        /** Longest time that an answer waits for its outcome to be stored. */
        private val ANSWER_DELAY: Duration = 2.seconds
        private val FIRST_PAUSE: Duration = 50.milliseconds
        private val LONGEST_PAUSE: Duration = 2.seconds
    }
}
