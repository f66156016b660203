package org.zinniahoist.daemon.entry

import kotlinx.coroutines.channels.Channel
import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.FailureReason
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Label
import org.zinniahoist.model.Verdict
import org.zinniahoist.wire.AttemptMessage
import org.zinniahoist.wire.LinkConnection
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Receives the response of one attempt on a link.
 *
 * The reader of the link calls [onChunk], [onEnd] and [onLost]. A single coroutine calls [next].
 */
internal class Attempt(
    val identifier: AttemptIdentifier,
    val sidecar: InstanceName,
    private val link: LinkConnection,
) {
    private val chunks = Channel<AttemptMessage.AttemptChunk>(AttemptMessage.INITIAL_CREDIT)
    private var received = 0
    private var consumed = 0

    @Volatile
    private var terminalEvent: AttemptEvent.Ended? = null

    fun onChunk(chunk: AttemptMessage.AttemptChunk) {
        if (terminalEvent != null) return
        val inOrder = chunk.sequence == received
        if (inOrder && chunks.trySend(chunk).isSuccess) {
            received += 1
        } else {
            val detail = if (inOrder) "more chunks than granted" else "chunk ${chunk.sequence} instead of $received"
            finish(mayHaveRun(FailureReason.INCOMPLETE_ANSWER, detail))
        }
    }

    fun onEnd(end: AttemptMessage.AttemptEnd) {
        val complete = end.verdict !is Verdict.Completed || (end.chunks == received && end.status in HTTP_STATUS)
        finish(
            if (complete) {
                val retryAfter = end.retryAfterMilliseconds.milliseconds
                AttemptEvent.Ended(end.verdict, end.status, end.contentType, end.label, retryAfter)
            } else {
                mayHaveRun(FailureReason.INCOMPLETE_ANSWER, "$received of ${end.chunks} chunks, status ${end.status}")
            },
        )
    }

    fun onLost(detail: String) = finish(mayHaveRun(FailureReason.LINK_LOST, detail))

    /** Waits for the next chunk or the end of the attempt, and grants the sidecar credit for consumed chunks. */
    suspend fun next(): AttemptEvent {
        val chunk = chunks.receiveCatching().getOrNull() ?: return checkNotNull(terminalEvent)
        consumed += 1
        if (consumed == CREDIT_GRANT_FRAMES) {
            consumed = 0
            link.send(AttemptMessage.Credit(identifier, CREDIT_GRANT_FRAMES))
        }
        return AttemptEvent.Chunk(chunk)
    }

    /** Asks the sidecar to cancel the attempt. Does not wait for a confirmation. */
    fun cancel() {
        link.offer(AttemptMessage.CancelAttempt(identifier))
    }

    // Synchronized, as the closing of the link and the sender of the start message can end the attempt concurrently.
    @Synchronized
    private fun finish(event: AttemptEvent.Ended) {
        if (terminalEvent != null) return
        terminalEvent = event
        chunks.close()
    }

    private fun mayHaveRun(reason: FailureReason, detail: String) =
        AttemptEvent.Ended(Verdict.MayHaveRun(reason, detail))

    private companion object {
        val HTTP_STATUS = 200..599

        /** Half of the initial credit, so that the sidecar still has credit while the grant is in transit. */
        const val CREDIT_GRANT_FRAMES = AttemptMessage.INITIAL_CREDIT / 2
    }
}

/** Event in the response of an attempt: a chunk or the end. */
internal sealed interface AttemptEvent {
    class Chunk(val content: AttemptMessage.AttemptChunk) : AttemptEvent

    data class Ended(
        val verdict: Verdict,
        val status: Int = 0,
        val contentType: String = "",
        val label: Label = Label(),
        val retryAfter: Duration = Duration.ZERO,
    ) : AttemptEvent
}
