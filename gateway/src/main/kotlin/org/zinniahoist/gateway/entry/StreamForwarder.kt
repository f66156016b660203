package org.zinniahoist.gateway.entry

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.common.SplitHttpResponse
import com.linecorp.armeria.common.stream.StreamMessage
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.zinniahoist.gateway.dialect.HeaderNames
import org.zinniahoist.gateway.upstream.AnswerTooLongException
import org.zinniahoist.gateway.upstream.CrashGuard
import org.zinniahoist.gateway.upstream.EventSizeLimiter
import org.zinniahoist.gateway.upstream.ForwardedFields
import org.zinniahoist.gateway.upstream.PermissiveCrashGuard
import org.zinniahoist.gateway.upstream.ResponseLimits
import org.zinniahoist.gateway.upstream.RunStatement
import org.zinniahoist.gateway.upstream.UpstreamCalls
import org.zinniahoist.gateway.upstream.abortWith
import org.zinniahoist.gateway.upstream.awaitHeaders
import org.zinniahoist.gateway.upstream.onFailure
import org.zinniahoist.gateway.upstream.runStatement
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.Moment
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.policy.live.AttemptOutcome
import org.zinniahoist.policy.routes.drawService
import java.util.concurrent.CompletableFuture
import kotlin.random.Random
import kotlin.time.Duration

/** Outcome of starting to forward a stream. */
internal sealed interface ForwardedStream {
    /** The response has started and is relayed as it arrives. */
    class Started(val response: HttpResponse) : ForwardedStream

    /** No upstream has run the request, and none will. */
    data class NotRun(val reason: String) : ForwardedStream

    /** Like [NotRun], because the service has no capacity; a place is expected after [expectedWait]. */
    data class NotAdmitted(val expectedWait: Duration) : ForwardedStream

    /** Like [NotRun], because upstreams crashed at earlier runs of the request. */
    data class Blocked(val reason: String) : ForwardedStream

    /** The outcome is unknown: an upstream may have run the request, but no response arrived. */
    data class NoAnswer(val reason: String) : ForwardedStream
}

/**
 * Relays event streams as they arrive. Retries a request only if the previous upstream did not run it.
 *
 * Aborts a stream that has not ended by the deadline of its request, so that the client does not take it for complete.
 */
internal class StreamForwarder(
    private val names: HeaderNames,
    private val calls: UpstreamCalls,
    private val upstreams: UpstreamChooser,
    private val scope: CoroutineScope,
    private val clock: () -> Moment,
    private val random: Random = Random.Default,
    private val crashes: CrashGuard = PermissiveCrashGuard,
    private val gate: AdmissionGate = AdmissionGate.open(clock),
) {
    private sealed interface Attempt {
        /** [whenComplete] completes when the upstream's response has ended or was aborted. */
        class Started(
            val response: HttpResponse,
            val whenComplete: CompletableFuture<Void>,
            val isServerError: Boolean,
        ) : Attempt

        data class NotRun(
            val reason: String,
            val load: AttemptOutcome = AttemptOutcome.OTHER,
        ) : Attempt

        data class Lost(val reason: String) : Attempt
    }

    suspend fun forward(request: ForwardedRequest): ForwardedStream {
        crashes.refusalReason(request.content)?.let { return ForwardedStream.Blocked(it) }
        val service = request.route.drawService(random)
        return when (val entrance = gate.enter(request, service)) {
            is AdmissionGate.Entrance.Refused -> ForwardedStream.NotAdmitted(entrance.expectedWait)
            is AdmissionGate.Entrance.Admitted -> forwardWithin(entrance.place, request, service)
        }
    }

    /** Holds [place] until the stream has ended or was not begun. */
    private suspend fun forwardWithin(
        place: AdmissionGate.Place,
        request: ForwardedRequest,
        service: ServiceName,
    ): ForwardedStream {
        var isBegun = false
        try {
            return forward(place, request, service).also { isBegun = it is ForwardedStream.Started }
        } finally {
            if (!isBegun) place.close()
        }
    }

    private suspend fun forward(
        place: AdmissionGate.Place,
        request: ForwardedRequest,
        service: ServiceName,
    ): ForwardedStream {
        val tried = HashSet<UpstreamIdentity>()
        var attempts = 0
        while (attempts < request.route.maximumAttempts) {
            if (!request.tryDispatch(clock())) return ForwardedStream.NotRun(Forwarder.SHUTTING_DOWN)
            val upstream = upstreams.choose(service, tried) ?: chooseForRetry(request, service, attempts) ?: break
            tried += upstream.identity
            attempts++
            val attempt = attempt(place, request, upstream)
            logger.info {
                "event=stream request=${request.identifier} upstream=${upstream.identity} attempt=$attempts " +
                    "outcome=${logText(attempt)}"
            }
            when (attempt) {
                is Attempt.Started -> {
                    attempt.whenComplete.handle { _, _ -> place.close() }
                    return ForwardedStream.Started(attempt.response)
                }

                is Attempt.Lost -> return ForwardedStream.NoAnswer(attempt.reason)

                is Attempt.NotRun -> Unit
            }
        }
        return ForwardedStream.NotRun("refused in $attempts attempts by ${tried.size} upstreams of $service")
    }

    /** Backs off, then returns an upstream that may have been tried before, or null if no time remains. */
    private suspend fun chooseForRetry(
        request: ForwardedRequest,
        service: ServiceName,
        attempts: Int,
    ): ListedUpstream? {
        if (attempts == 0 || clock() + Forwarder.SAME_UPSTREAM_BACKOFF >= request.deadline) return null
        delay(Forwarder.SAME_UPSTREAM_BACKOFF)
        return upstreams.choose(service, emptySet())
    }

    private fun logText(attempt: Attempt): String = when (attempt) {
        is Attempt.Started -> "begun"
        is Attempt.NotRun -> "not-run reason=\"${attempt.reason}\""
        is Attempt.Lost -> "lost reason=\"${attempt.reason}\""
    }

    private suspend fun attempt(
        place: AdmissionGate.Place,
        request: ForwardedRequest,
        upstream: ListedUpstream,
    ): Attempt {
        val start = clock()
        var load = AttemptOutcome.OTHER
        place.onAttempt()
        try {
            return attempt(request, upstream, start).also { load = loadOutcome(it) }
        } finally {
            place.onAttemptEnded(load, start)
        }
    }

    private fun loadOutcome(attempt: Attempt): AttemptOutcome = when (attempt) {
        is Attempt.Started -> if (attempt.isServerError) AttemptOutcome.OTHER else AttemptOutcome.ANSWERED
        is Attempt.NotRun -> attempt.load
        is Attempt.Lost -> AttemptOutcome.OTHER
    }

    private suspend fun attempt(request: ForwardedRequest, upstream: ListedUpstream, start: Moment): Attempt {
        var started: Attempt? = null
        val headers = headersFor(request, upstream)
        val response = calls.open(upstream.endpoint, headers, request.body, ResponseLimits.STREAM, request.identifier)
        try {
            val split = response.split()
            val head = withTimeoutOrNull(request.deadline - start) { split.awaitHeaders() }
            val attempt =
                if (head == null) Attempt.Lost("no response in time") else classify(request, head, response, split)
            started = attempt.takeIf { it is Attempt.Started }
            if (started != null) {
                crashes.onAnswered(request.content)
                // A stream begins to run with its first token, before which it may wait at the upstream.
                request.usage.onAnswered(clock())
            }
            return attempt
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: Exception) {
            val cause = UpstreamCalls.rootOf(failure).toString()
            crashes.onFailure(request.content, upstream, failure)
            return if (UpstreamCalls.isUnsent(failure)) Attempt.NotRun(cause) else Attempt.Lost(cause)
        } finally {
            upstreams.onEnded(upstream.identity, clock() - start, isSuccess = started != null)
            if (started == null) response.abort() else abortAtDeadline(request, response)
        }
    }

    private fun classify(
        request: ForwardedRequest,
        head: ResponseHeaders,
        response: HttpResponse,
        split: SplitHttpResponse,
    ): Attempt {
        val echoed = head.get(names.requestIdentifier)
        if (echoed != request.identifier) return Attempt.Lost("response echoes request $echoed")
        val status = head.status()
        return when (names.runStatement(head)) {
            RunStatement.NOT_RUN ->
                Attempt.NotRun("refused with ${status.code()}", AdmissionGate.outcomeOfRefusal(status.code()))

            RunStatement.MISDIRECTED -> Attempt.NotRun("address belongs to another upstream")

            RunStatement.REJECTED, RunStatement.FAILED, RunStatement.SETTLED ->
                if (status.isSuccess && !head.contains(names.answerStamp)) {
                    Attempt.Lost("stamp missing")
                } else {
                    Attempt.Started(
                        HttpResponse.of(ForwardedFields.response(head), limitEvents(head, response, split.body())),
                        response.whenComplete(),
                        status.isServerError,
                    )
                }
        }
    }

    /** Returns [body], which aborts [response] and fails if an event exceeds the length limit. */
    private fun limitEvents(
        head: ResponseHeaders,
        response: HttpResponse,
        body: StreamMessage<HttpData>,
    ): StreamMessage<HttpData> {
        if (head.contentType()?.belongsTo(MediaType.EVENT_STREAM) != true) return body
        val eventLimiter = EventSizeLimiter(ResponseLimits.STREAM)
        return body.peek { chunk ->
            try {
                eventLimiter.count(chunk.array())
            } catch (exceeded: AnswerTooLongException) {
                response.abortWith(exceeded)
            }
        }
    }

    private fun abortAtDeadline(request: ForwardedRequest, response: HttpResponse) {
        val timer = scope.launch {
            delay(request.deadline - clock())
            logger.info { "event=stream-broken-off request=${request.identifier} reason=\"deadline reached\"" }
            response.abort()
        }
        response.whenComplete().handle { _, _ -> timer.cancel() }
    }

    private fun headersFor(request: ForwardedRequest, upstream: ListedUpstream): RequestHeaders {
        val remaining = (request.deadline - clock()).inWholeMilliseconds.coerceAtLeast(1)
        return ForwardedFields.request(request.headers)
            .set(names.expectedUpstream, upstream.identity.value)
            .set(names.remainingMilliseconds, remaining.toString())
            .build()
    }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
