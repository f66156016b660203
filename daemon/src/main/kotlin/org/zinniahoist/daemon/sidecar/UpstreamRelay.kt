package org.zinniahoist.daemon.sidecar

import com.linecorp.armeria.common.HttpRequest
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import org.zinniahoist.model.FailureReason
import org.zinniahoist.model.Label
import org.zinniahoist.model.Moment
import org.zinniahoist.wire.RequestOrigin
import java.io.ByteArrayOutputStream

/** How a call to the upstream ended. */
internal sealed interface CallResult {
    /** The answer is whole. [body] is null if it is too large to be stored. */
    class Answered(
        val status: Int,
        val contentType: String,
        val label: Label,
        val body: ByteArray?,
    ) : CallResult

    /** No byte of the request was written. */
    data class NotSent(val detail: String) : CallResult

    /** The request may have run. */
    data class Broken(
        val reason: FailureReason,
        val detail: String,
    ) : CallResult
}

/** Gives requests to the upstream and passes the answers on. */
internal class UpstreamRelay(
    private val client: UpstreamClient,
    private val state: UpstreamState,
    private val gate: AdmissionGate,
    private val crashes: CrashDetector,
    private val health: HealthMonitor,
    private val clock: () -> Moment,
) {
    /** Calls the upstream for an attempt that [CrashDetector.tryStart] has counted as given. */
    suspend fun call(attempt: ActiveAttempt, slot: AdmissionGate.Slot, request: HttpRequest): CallResult {
        val exchange = client.open(request, health::onActivity)
        attempt.exchange = exchange
        val result = try {
            relay(attempt, slot, exchange)
        } catch (cancelled: CancellationException) {
            exchange.abort(cancelled)
            withContext(NonCancellable) { crashes.onEnd(attempt, finished = false) }
            throw cancelled
        } catch (failure: Exception) {
            fail(failure)
        } finally {
            exchange.connection?.let(health::onIdle)
        }
        val crashed = result is CallResult.Broken && result.reason == FailureReason.UPSTREAM_CRASHED
        if (crashed) crashes.onBroken(attempt) else crashes.onEnd(attempt, finished = result is CallResult.Answered)
        if (result is CallResult.Answered) slot.onAnswered()
        return result
    }

    private fun fail(failure: Exception): CallResult {
        val detail = failure.message ?: failure::class.simpleName.orEmpty()
        if (!UpstreamClient.isUnsent(failure)) return CallResult.Broken(UpstreamClient.reasonOf(failure), detail)
        state.isReachable = false
        return CallResult.NotSent(detail)
    }

    private suspend fun relay(
        attempt: ActiveAttempt,
        slot: AdmissionGate.Slot,
        exchange: UpstreamExchange,
    ): CallResult {
        val startedAt = clock()
        val head = exchange.head()
        val contentType = head.get("content-type").orEmpty()
        val decoder = AnswerDecoder.of(state.isEngine, contentType)
        val body = StoredBody()
        while (true) {
            exchange.connection?.let(health::onActivity)
            val bytes = exchange.next() ?: break
            body.append(bytes)
            for (piece in decoder.accept(bytes)) {
                if (slot.tokens == 0 && piece.tokens > 0 && attempt.start.origin is RequestOrigin.Live) {
                    gate.onLiveFirstToken(clock() - startedAt)
                }
                slot.tokens += piece.tokens
                if (piece.tokens > 0) gate.onTokens(piece.tokens)
                if (!attempt.credit.hasCredit) exchange.connection?.let(health::onIdle)
                attempt.deliver(piece)
            }
        }
        val isWhole = decoder.finish()
        if (!isWhole) return CallResult.Broken(FailureReason.INCOMPLETE_ANSWER, "the stream ended without [DONE]")
        return CallResult.Answered(head.status().code(), contentType, decoder.label, body.bytes)
    }
}

/** Keeps the bytes of an answer while they can be stored in the ledger. */
internal class StoredBody {
    private var kept: ByteArrayOutputStream? = ByteArrayOutputStream()

    /** The whole body, or null if it is over the limit. */
    val bytes: ByteArray? get() = kept?.toByteArray()

    fun append(bytes: ByteArray) {
        val present = kept ?: return
        if (present.size() + bytes.size > MAXIMUM_STORED) kept = null else present.write(bytes)
    }

    private companion object {
        /** Largest outcome in the ledger. */
        const val MAXIMUM_STORED = 64 * 1_024
    }
}
