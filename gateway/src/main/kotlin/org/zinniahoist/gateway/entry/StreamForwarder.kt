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
import kotlinx.coroutines.future.await
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.zinniahoist.gateway.dialect.HeaderNames
import org.zinniahoist.gateway.upstream.AnswerLimits
import org.zinniahoist.gateway.upstream.AnswerTooLongException
import org.zinniahoist.gateway.upstream.EventMeter
import org.zinniahoist.gateway.upstream.UpstreamCalls
import org.zinniahoist.gateway.upstream.breakOff
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.Moment
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.policy.routes.drawService
import kotlin.random.Random

/** How the forwarding of a stream began. */
internal sealed interface ForwardedStream {
    /** The answer, which is passed on as it arrives. */
    class Begun(val response: HttpResponse) : ForwardedStream

    /** No upstream ran the request or will run it. */
    data class NotRun(val reason: String) : ForwardedStream

    /** An upstream may have run the request, and there is no answer. */
    data class NoAnswer(val reason: String) : ForwardedStream
}

/**
 * Passes event streams on as they arrive. A request is sent to another upstream only if the one before did not run it.
 *
 * A stream that has not ended at the deadline of its request is broken off, so that it does not look complete.
 */
internal class StreamForwarder(
    private val names: HeaderNames,
    private val calls: UpstreamCalls,
    private val upstreams: UpstreamChooser,
    private val scope: CoroutineScope,
    private val clock: () -> Moment,
    private val random: Random = Random.Default,
) {
    private sealed interface Attempt {
        class Begun(val response: HttpResponse) : Attempt

        data class NotRun(val reason: String) : Attempt

        data class Lost(val reason: String) : Attempt
    }

    suspend fun forward(request: ForwardedRequest): ForwardedStream {
        val service = request.route.drawService(random)
        val used = HashSet<UpstreamIdentity>()
        var attempts = 0
        while (attempts < request.route.maximumAttempts) {
            if (!request.enter(clock())) return ForwardedStream.NotRun(Forwarder.STOPPING)
            val upstream = upstreams.choose(service, used) ?: chooseAgain(request, service, attempts) ?: break
            used += upstream.identity
            attempts++
            val attempt = attempt(request, upstream)
            logger.info {
                "event=stream request=${request.identifier} upstream=${upstream.identity} attempt=$attempts " +
                    "outcome=${describe(attempt)}"
            }
            when (attempt) {
                is Attempt.Begun -> return ForwardedStream.Begun(attempt.response)
                is Attempt.Lost -> return ForwardedStream.NoAnswer(attempt.reason)
                is Attempt.NotRun -> Unit
            }
        }
        return ForwardedStream.NotRun("refused in $attempts attempts by ${used.size} upstreams of $service")
    }

    /** After a pause returns an upstream that may have been used, as there is no other; null if no time remains. */
    private suspend fun chooseAgain(request: ForwardedRequest, service: ServiceName, attempts: Int): ListedUpstream? {
        if (attempts == 0 || clock() + Forwarder.REUSE_PAUSE >= request.deadline) return null
        delay(Forwarder.REUSE_PAUSE)
        return upstreams.choose(service, emptySet())
    }

    private fun describe(attempt: Attempt): String = when (attempt) {
        is Attempt.Begun -> "begun"
        is Attempt.NotRun -> "not-run reason=\"${attempt.reason}\""
        is Attempt.Lost -> "lost reason=\"${attempt.reason}\""
    }

    private suspend fun attempt(request: ForwardedRequest, upstream: ListedUpstream): Attempt {
        val start = clock()
        var begun: Attempt? = null
        val headers = headersFor(request, upstream)
        val response = calls.open(upstream.endpoint, headers, request.body, AnswerLimits.STREAM, request.identifier)
        try {
            val split = response.split()
            val head = withTimeoutOrNull(request.deadline - start) { split.headers().await() }
            val attempt = if (head == null) Attempt.Lost("no answer in time") else judge(request, head, response, split)
            begun = attempt.takeIf { it is Attempt.Begun }
            return attempt
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: Exception) {
            val cause = UpstreamCalls.rootOf(failure).toString()
            return if (UpstreamCalls.isUnsent(failure)) Attempt.NotRun(cause) else Attempt.Lost(cause)
        } finally {
            upstreams.onEnded(upstream.identity, clock() - start, isSound = begun != null)
            if (begun == null) response.abort() else breakOffAtDeadline(request, response)
        }
    }

    private fun judge(
        request: ForwardedRequest,
        head: ResponseHeaders,
        response: HttpResponse,
        split: SplitHttpResponse,
    ): Attempt {
        val echoed = head.get(names.requestIdentifier)
        return when {
            echoed != request.identifier -> Attempt.Lost("echo $echoed")
            head.contains(names.notRun) -> Attempt.NotRun("refused with ${head.status().code()}")
            head.status().code() == MISDIRECTED -> Attempt.NotRun("another upstream has the address")
            head.status().isSuccess && !head.contains(names.answerStamp) -> Attempt.Lost("no stamp")
            else -> Attempt.Begun(HttpResponse.of(Forwarder.passedHeaders(head), bounded(head, response, split.body())))
        }
    }

    /** Returns [body], which fails together with its [response] where it can't be a stream of events. */
    private fun bounded(
        head: ResponseHeaders,
        response: HttpResponse,
        body: StreamMessage<HttpData>,
    ): StreamMessage<HttpData> {
        if (head.contentType()?.belongsTo(MediaType.EVENT_STREAM) != true) return body
        val meter = EventMeter(AnswerLimits.STREAM)
        return body.peek { piece ->
            try {
                meter.onBytes(piece.array())
            } catch (exceeded: AnswerTooLongException) {
                response.breakOff(exceeded)
            }
        }
    }

    private fun breakOffAtDeadline(request: ForwardedRequest, response: HttpResponse) {
        val guard = scope.launch {
            delay(request.deadline - clock())
            logger.info { "event=stream-broken-off request=${request.identifier} reason=\"deadline reached\"" }
            response.abort()
        }
        response.whenComplete().handle { _, _ -> guard.cancel() }
    }

    private fun headersFor(request: ForwardedRequest, upstream: ListedUpstream): RequestHeaders {
        val remaining = (request.deadline - clock()).inWholeMilliseconds.coerceAtLeast(1)
        return Forwarder.forwardedHeaders(request.headers)
            .set(names.expectedUpstream, upstream.identity.value)
            .set(names.remainingMilliseconds, remaining.toString())
            .build()
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val MISDIRECTED = 421
    }
}
