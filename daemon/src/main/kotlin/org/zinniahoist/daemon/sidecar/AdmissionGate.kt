package org.zinniahoist.daemon.sidecar

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.selects.select
import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RefusalReason
import org.zinniahoist.policy.admission.AdmissionQueue
import org.zinniahoist.policy.admission.ConcurrencyLimiter
import org.zinniahoist.policy.admission.OfferResult
import org.zinniahoist.policy.admission.Origin
import org.zinniahoist.policy.admission.QueuedAttempt
import org.zinniahoist.policy.admission.Slots
import org.zinniahoist.wire.LoadReport
import org.zinniahoist.wire.RequestOrigin
import kotlin.time.Duration

/** Gives the slots of the upstream to attempts, in the order of the admission queue. */
internal class AdmissionGate(
    private val queue: AdmissionQueue,
    private val limiter: ConcurrencyLimiter,
    private val state: UpstreamState,
    private val clock: () -> Moment,
) {
    private val lock = Any()
    private val waiting = HashMap<AttemptIdentifier, CompletableDeferred<AttemptOutcome?>>()
    private val times = ServiceTimes()
    private var running = 0
    private var offers = 0L

    /** Returns a slot that has not been acquired. */
    fun slotFor(attempt: ActiveAttempt): Slot = Slot(attempt)

    /** Refuses attempts that can no longer meet their deadlines and fills free slots. */
    fun tick() {
        val now = clock()
        synchronized(lock) {
            queue.expire(now).forEach { settle(it, AttemptOutcome.notRun(RefusalReason.DEADLINE_EXCEEDED)) }
            if (state.isAvailable || state.isSuspended) fill(now) else refuseAll()
        }
    }

    /** Records [tokens] that the upstream produced. */
    fun onTokens(tokens: Int): Unit = synchronized(lock) { limiter.onTokens(tokens, running, clock()) }

    /** Records the time from giving a live attempt to the upstream to its first token. */
    fun onLiveFirstToken(elapsed: Duration): Unit = synchronized(lock) { limiter.onLiveFirstToken(elapsed, clock()) }

    /** Returns the present load. */
    fun load(isReady: Boolean): LoadReport = synchronized(lock) {
        LoadReport(
            running = running,
            waiting = queue.size,
            concurrencyLimit = limiter.limit,
            serviceMilliseconds = times.meanMilliseconds,
            version = state.version,
            available = isReady && state.isAvailable,
        )
    }

    private fun refuseAll() {
        waiting.forEach { (identifier, granted) ->
            queue.cancel(identifier)
            granted.complete(AttemptOutcome.notRun(RefusalReason.NO_UPSTREAM, "the upstream is not available"))
        }
        waiting.clear()
    }

    private fun fill(now: Moment) {
        while (state.isAvailable && !state.isSuspended) {
            val slots = Slots(running, limiter.limit, limiter.trainingLimit)
            val next = queue.poll(slots, now) ?: return
            running += 1
            settle(next, null)
        }
    }

    private fun settle(queued: QueuedAttempt, outcome: AttemptOutcome?) {
        waiting.remove(queued.identifier)?.complete(outcome)
    }

    /** Place of one attempt on the upstream. Can be given back and acquired again. */
    inner class Slot(private val attempt: ActiveAttempt) {
        private var held: QueuedAttempt? = null
        private var heldSince = Moment.ZERO

        /** Tokens that the attempt produced while it held the slot. */
        var tokens: Int = 0

        /** Whether the attempt may be given to the upstream. */
        val isHeld: Boolean get() = held != null

        /** Waits for a slot. Returns null once it is held, or why the attempt does not get one. */
        suspend fun acquire(): AttemptOutcome? {
            val granted = CompletableDeferred<AttemptOutcome?>()
            val (queued, refusal) = offer(granted)
            if (refusal != null) return refusal
            tick()
            val stop = select {
                granted.onAwait { null }
                attempt.stopped.onAwait { it }
            }
            if (stop != null && withdraw(queued)) return AttemptOutcome.stoppedBeforeRun(stop)
            granted.await()?.let { return it }
            held = queued
            heldSince = clock()
            return null
        }

        /** Gives the slot back, if it is held. */
        fun release() {
            val queued = held ?: return
            held = null
            val now = clock()
            synchronized(lock) {
                running -= 1
                queue.onEnd(queued, now - heldSince, now)
                fill(now)
            }
        }

        /** Records that the upstream answered the attempt. */
        fun onAnswered(): Unit = times.record(clock() - heldSince, tokens)

        private fun offer(granted: CompletableDeferred<AttemptOutcome?>): Pair<QueuedAttempt, AttemptOutcome?> =
            synchronized(lock) {
                val queued = describe(offers++)
                when (val result = queue.offer(queued, clock())) {
                    OfferResult.Queued -> {
                        waiting[queued.identifier] = granted
                        queued to null
                    }

                    is OfferResult.Refused ->
                        queued to AttemptOutcome.notRun(result.reason, retryAfter = result.retryAfter)
                }
            }

        /** Returns false if the slot was granted or refused in the meantime. */
        private fun withdraw(queued: QueuedAttempt): Boolean = synchronized(lock) {
            queue.cancel(queued.identifier)
            waiting.remove(queued.identifier) != null
        }

        private fun describe(offer: Long): QueuedAttempt {
            val origin = attempt.start.origin
            val tokens = (origin as? RequestOrigin.Training)?.expectedTokens
            val identifier = AttemptIdentifier("${attempt.start.attempt}#$offer")
            return QueuedAttempt(identifier, origin.toPolicy(), times.expected(tokens), attempt.deadline)
        }
    }

    private fun RequestOrigin.toPolicy(): Origin = when (this) {
        is RequestOrigin.Live -> Origin.Live
        is RequestOrigin.Training -> Origin.Training(trainer, weight, group, remainingInGroup)
    }
}
