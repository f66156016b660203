package org.zinniahoist.daemon.sidecar

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import org.zinniahoist.model.Moment
import org.zinniahoist.policy.poison.Fingerprint
import org.zinniahoist.wire.AttemptMessage
import org.zinniahoist.wire.LinkConnection
import org.zinniahoist.wire.LoadReport
import java.util.concurrent.atomic.AtomicBoolean

/** Why the answer of an attempt is no longer wanted. */
internal enum class StopCause { CANCELLED, LINK_LOST, DEADLINE }

/** An attempt that a sidecar has accepted and not ended. */
internal class ActiveAttempt(
    private val link: LinkConnection,
    val start: AttemptMessage.StartAttempt,
    val deadline: Moment,
    private val limit: Moment,
) {
    private val stop = CompletableDeferred<StopCause>()
    private val ended = AtomicBoolean(false)
    private var chunks = 0

    val credit = CreditWindow(start.credit)
    val fingerprint = Fingerprint(start.fingerprint)
    val stopped: Deferred<StopCause> get() = stop

    /** The call to the upstream, once it has begun. */
    @Volatile
    var exchange: UpstreamExchange? = null

    /** Whether a crash of the upstream was recorded for the attempt. */
    @Volatile
    var isCrashRecorded = false

    fun belongsTo(other: LinkConnection): Boolean = link === other

    fun stop(cause: StopCause) {
        stop.complete(cause)
        credit.close()
    }

    /** Stops the attempt at its deadline, and closes its call when any request must have ended. */
    fun checkTime(now: Moment) {
        if (now >= deadline) stop(StopCause.DEADLINE)
        if (now >= limit) exchange?.abort(CallTimeoutException())
    }

    /** Sends a chunk once there is credit for it. Drops it if the answer is no longer wanted. */
    suspend fun deliver(piece: AnswerPiece) {
        if (!credit.take()) return
        val chunk = AttemptMessage.AttemptChunk(start.attempt, chunks, piece.bytes, piece.tokens, piece.version)
        if (link.send(chunk)) chunks += 1 else stop(StopCause.LINK_LOST)
    }

    /** Sends the last message of the attempt, unless that was done before. */
    suspend fun end(outcome: AttemptOutcome, load: LoadReport) {
        if (!ended.compareAndSet(false, true)) return
        link.send(
            AttemptMessage.AttemptEnd(
                attempt = start.attempt,
                verdict = outcome.verdict,
                chunks = chunks,
                status = outcome.status,
                contentType = outcome.contentType,
                label = outcome.label,
                load = load,
                retryAfterMilliseconds = outcome.retryAfter.inWholeMilliseconds,
            ),
        )
    }
}
