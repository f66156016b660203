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

/** One attempt on one link. The link's reader calls [onChunk], [onEnd] and [onLost]; one coroutine calls [next]. */
internal class Attempt(
    val identifier: AttemptIdentifier,
    val sidecar: InstanceName,
    private val link: LinkConnection,
) {
    private val chunks = Channel<AttemptMessage.AttemptChunk>(AttemptMessage.INITIAL_CREDIT)
    private var received = 0
    private var consumed = 0

    @Volatile
    private var ended: AttemptEvent.Ended? = null

    fun onChunk(chunk: AttemptMessage.AttemptChunk) {
        if (ended != null) return
        val inOrder = chunk.sequence == received
        if (inOrder && chunks.trySend(chunk).isSuccess) {
            received += 1
        } else {
            val detail = if (inOrder) "more chunks than granted" else "chunk ${chunk.sequence} instead of $received"
            finish(lost(FailureReason.INCOMPLETE_ANSWER, detail))
        }
    }

    fun onEnd(end: AttemptMessage.AttemptEnd) {
        val whole = end.verdict !is Verdict.Completed || (end.chunks == received && end.status in HTTP_STATUS)
        finish(
            if (whole) {
                val retryAfter = end.retryAfterMilliseconds.milliseconds
                AttemptEvent.Ended(end.verdict, end.status, end.contentType, end.label, retryAfter)
            } else {
                lost(FailureReason.INCOMPLETE_ANSWER, "$received of ${end.chunks} chunks, status ${end.status}")
            },
        )
    }

    fun onLost(detail: String) = finish(lost(FailureReason.LINK_LOST, detail))

    /** Returns the next chunk in order, or the end. Grants the sidecar credit for what was taken. */
    suspend fun next(): AttemptEvent {
        val chunk = chunks.receiveCatching().getOrNull() ?: return checkNotNull(ended)
        consumed += 1
        if (consumed == CREDIT_STEP) {
            consumed = 0
            link.send(AttemptMessage.Credit(identifier, CREDIT_STEP))
        }
        return AttemptEvent.Chunk(chunk)
    }

    /** Tells the sidecar that the answer is not wanted. */
    fun cancel() {
        link.offer(AttemptMessage.CancelAttempt(identifier))
    }

    // The end of the link and the sender of the start can both end the attempt.
    @Synchronized
    private fun finish(event: AttemptEvent.Ended) {
        if (ended != null) return
        ended = event
        chunks.close()
    }

    private fun lost(reason: FailureReason, detail: String) = AttemptEvent.Ended(Verdict.MayHaveRun(reason, detail))

    private companion object {
        val HTTP_STATUS = 200..599

        /** Half of the first credit, so that the sidecar still has credit while the grant travels. */
        const val CREDIT_STEP = AttemptMessage.INITIAL_CREDIT / 2
    }
}

/** What happens to an attempt. */
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
