package org.zinniahoist.gateway.entry

import com.linecorp.armeria.common.ContentTooLargeException
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.future.await
import kotlinx.coroutines.future.future
import org.zinniahoist.gateway.dialect.ClientCall
import org.zinniahoist.gateway.dialect.PlatformDialect
import org.zinniahoist.gateway.dialect.ResultPages
import org.zinniahoist.gateway.link.CoreClient
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.gateway.upstream.AnswerMemory
import org.zinniahoist.gateway.upstream.UpstreamCalls
import org.zinniahoist.gateway.upstream.WholeAnswer
import org.zinniahoist.model.Moment
import org.zinniahoist.policy.routes.RefusalCause
import org.zinniahoist.policy.routes.ReturnAdvice
import org.zinniahoist.policy.routes.Route
import org.zinniahoist.policy.routes.RouteKind
import org.zinniahoist.policy.routes.RouteTable
import org.zinniahoist.wire.ServiceCall
import org.zinniahoist.wire.ServiceReply
import java.util.Locale
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Receives all requests of clients. */
internal class EntryHttp(
    private val dialect: PlatformDialect,
    private val core: CoreClient,
    private val directory: UpstreamDirectory,
    private val calls: UpstreamCalls,
    private val scope: CoroutineScope,
    private val clock: () -> Moment,
    private val metrics: GatewayMetrics,
    private val memory: AnswerMemory,
    private val random: Random = Random.Default,
) : HttpService {
    private val names = dialect.headers
    private val forwarder = Forwarder(names, calls, directory, clock)
    private val streams = StreamForwarder(names, calls, directory, scope, clock, random)
    private val pages = ResultPages(dialect)
    private val inFlight = AtomicInteger()
    private val open: MutableSet<OpenRequest> = ConcurrentHashMap.newKeySet()

    /** The routes in force, or null before they are known. */
    @Volatile
    var routes: RouteTable? = null

    @Volatile
    var phase: EntryPhase = EntryPhase.SERVING

    /** When the service ends, or null while the process is not stopping. */
    @Volatile
    var serviceEnd: Moment? = null

    /** Requests without a complete answer. */
    val requestsInFlight: Int get() = inFlight.get()

    override fun serve(context: ServiceRequestContext, request: HttpRequest): HttpResponse {
        // Counted before the phase is read, so that no request is passed on unseen once all are refused.
        inFlight.incrementAndGet()
        val share = memory.share()
        context.log().whenComplete().thenRun {
            inFlight.decrementAndGet()
            share.close()
        }
        if (phase != EntryPhase.SERVING) context.initiateConnectionShutdown()
        val passage = RequestPassage { serviceEnd }
        val answer = scope.future { guarded(request, share, passage) }
        val openRequest = OpenRequest(request, passage, answer)
        open += openRequest
        answer.whenComplete { _, _ -> open -= openRequest }
        val response = HttpResponse.of(answer)
        response.whenComplete().handle { _, failure ->
            if (failure != null) answer.cancel(true)
        }
        return response
    }

    /** Answers all requests whose answers have not begun: as not run, or with an unknown outcome. */
    fun answerOpenRequests(): Unit = open.toList().forEach { openRequest ->
        val hasRun = openRequest.passage.end()
        val answer = if (hasRun) HttpResponse.of(HttpStatus.GATEWAY_TIMEOUT) else refuseStopping(openRequest.request)
        // Also cancels the coroutine that would have answered, and with it what waits for upstreams.
        openRequest.answer.complete(answer)
    }

    private suspend fun guarded(
        request: HttpRequest,
        share: AnswerMemory.Share,
        passage: RequestPassage,
    ): HttpResponse = try {
        answer(request, share, passage)
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (_: ContentTooLargeException) {
        HttpResponse.of(HttpStatus.REQUEST_ENTITY_TOO_LARGE)
    } catch (failure: Exception) {
        logger.warn { "event=request-failed path=${request.path()} cause=\"${UpstreamCalls.rootOf(failure)}\"" }
        HttpResponse.of(HttpStatus.BAD_GATEWAY)
    }

    private fun refuseStopping(request: HttpRequest): HttpResponse =
        refusal(request, RefusalCause.STOPPING, "the process stops")

    private suspend fun answer(
        request: HttpRequest,
        share: AnswerMemory.Share,
        passage: RequestPassage,
    ): HttpResponse {
        val arrival = clock()
        val body = request.aggregate().await().content().array()
        // Read after the body, which may take long: what is complete once all are refused must not be passed on.
        if (phase == EntryPhase.REFUSING) return refuseStopping(request)
        val path = request.path().substringBefore('?')
        val query = request.path().substringAfter('?', "").ifEmpty { null }
        dialect.clientCall(request.method().name, path, query)?.let { return answerCall(request, it, passage) }
        val known = routes ?: return refusal(request, RefusalCause.NO_CONFIGURATION, "no configuration yet")
        val host = request.headers().authority().orEmpty().substringBefore(':')
        val route = known.find(host, path)
        if (route == null) {
            logger.info { "event=no-route host=$host path=$path revision=${known.revision}" }
            return HttpResponse.of(HttpStatus.NOT_FOUND)
        }
        if (body.size > (known.limits?.bodyBytes ?: Long.MAX_VALUE)) {
            return HttpResponse.of(HttpStatus.REQUEST_ENTITY_TOO_LARGE)
        }
        return when (route.kind) {
            RouteKind.BATCH -> submit(request, host, path, body, passage)

            RouteKind.EVENT_STREAM -> stream(request, forwardedRequest(request, body, route, arrival, share, passage))

            RouteKind.REPEATABLE, RouteKind.AT_MOST_ONCE ->
                forward(request, forwardedRequest(request, body, route, arrival, share, passage), arrival, known)
        }
    }

    private suspend fun forward(
        request: HttpRequest,
        forwardedRequest: ForwardedRequest,
        arrival: Moment,
        known: RouteTable,
    ): HttpResponse {
        val forwarded = forwarder.forward(forwardedRequest)
        logger.info {
            "event=request request=${forwardedRequest.identifier} route=${forwardedRequest.route.name} " +
                "revision=${known.revision} outcome=${describe(forwarded)} " +
                "milliseconds=${(clock() - arrival).inWholeMilliseconds}"
        }
        metrics.onRequest(outcomeOf(forwarded), clock() - arrival)
        return when (forwarded) {
            is Forwarded.Answer -> passOn(forwarded.answer)
            is Forwarded.NotRun -> refusal(request, causeNow(), forwarded.reason)
            is Forwarded.NoAnswer -> HttpResponse.of(HttpStatus.GATEWAY_TIMEOUT)
        }
    }

    private fun outcomeOf(forwarded: Forwarded): String = when (forwarded) {
        is Forwarded.Answer -> "answered"
        is Forwarded.NotRun -> "not_run"
        is Forwarded.NoAnswer -> "no_answer"
    }

    private fun describe(forwarded: Forwarded): String = when (forwarded) {
        is Forwarded.Answer -> forwarded.answer.status.toString()
        is Forwarded.NotRun -> "not-run reason=\"${forwarded.reason}\""
        is Forwarded.NoAnswer -> "no-answer reason=\"${forwarded.reason}\""
    }

    private fun passOn(answer: WholeAnswer): HttpResponse =
        HttpResponse.of(Forwarder.passedHeaders(answer.headers), HttpData.wrap(answer.body))

    private suspend fun stream(request: HttpRequest, forwardedRequest: ForwardedRequest): HttpResponse =
        when (val stream = streams.forward(forwardedRequest)) {
            is ForwardedStream.Begun -> stream.response
            is ForwardedStream.NotRun -> refusal(request, causeNow(), stream.reason)
            is ForwardedStream.NoAnswer -> HttpResponse.of(HttpStatus.GATEWAY_TIMEOUT)
        }

    private fun causeNow(): RefusalCause =
        if (phase == EntryPhase.SERVING) RefusalCause.NO_UPSTREAM else RefusalCause.STOPPING

    private fun forwardedRequest(
        request: HttpRequest,
        body: ByteArray,
        route: Route,
        arrival: Moment,
        share: AnswerMemory.Share,
        passage: RequestPassage,
    ): ForwardedRequest {
        val headers = request.headers()
        val budget = Forwarder.budget(headers.get(names.remainingMilliseconds), route.timeout)
        val identifier = headers.get(names.requestIdentifier)
        return ForwardedRequest(headers, body, identifier, route, arrival + budget, share, passage)
    }

    private suspend fun submit(
        request: HttpRequest,
        host: String,
        path: String,
        body: ByteArray,
        passage: RequestPassage,
    ): HttpResponse {
        val job = request.headers().get(names.requestIdentifier) ?: return HttpResponse.of(HttpStatus.BAD_REQUEST)
        if (request.method() != HttpMethod.POST) return HttpResponse.of(HttpStatus.METHOD_NOT_ALLOWED)
        if (!passage.enterCore()) return refuseStopping(request)
        val reply = core.callLeader(ServiceCall.SubmitJob(host, path, job, body), SUBMIT_TIMEOUT)
        metrics.onEvent("job_submission", reply.javaClass.simpleName)
        logger.info { "event=job-submission job=$job bytes=${body.size} reply=${reply::class.simpleName}" }
        return respond(request, reply, success = HttpStatus.ACCEPTED)
    }

    private suspend fun answerCall(request: HttpRequest, call: ClientCall, passage: RequestPassage): HttpResponse {
        val wait = request.headers().get(names.waitMilliseconds)?.trim()?.toLongOrNull() ?: 0
        val serviceCall = when (call) {
            is ClientCall.ReadJob -> ServiceCall.ReadJob(
                call.job,
                call.after,
                wait.coerceIn(0, LONGEST_WAIT_MILLISECONDS),
                acceptsPacked = true,
            )
            is ClientCall.ReadItem -> ServiceCall.ReadItem(call.job, call.item)
            is ClientCall.EndJob -> ServiceCall.EndJob(call.job)
            is ClientCall.Malformed -> return HttpResponse.of(HttpStatus.BAD_REQUEST)
        }
        if (!passage.enterCore()) return refuseStopping(request)
        val reply = core.callLeader(serviceCall, CALL_TIMEOUT + waitOf(serviceCall))
        logger.info { "event=job-call call=$call reply=${reply::class.simpleName}" }
        return respond(request, reply, success = HttpStatus.OK)
    }

    private fun waitOf(call: ServiceCall): Duration =
        if (call is ServiceCall.ReadJob) call.waitMilliseconds.milliseconds else Duration.ZERO

    private fun respond(request: HttpRequest, reply: ServiceReply, success: HttpStatus): HttpResponse = when (reply) {
        is ServiceReply.Done -> HttpResponse.of(success, MediaType.JSON, "{}")

        is ServiceReply.Content -> json(success, reply.content)

        is ServiceReply.Results -> json(success, pages.page(reply))

        is ServiceReply.NotFound -> HttpResponse.of(HttpStatus.NOT_FOUND)

        is ServiceReply.Invalid -> HttpResponse.of(HttpStatus.BAD_REQUEST)

        is ServiceReply.Unavailable -> refusal(request, RefusalCause.NO_LEADER, reply.detail)

        else -> HttpResponse.of(HttpStatus.GATEWAY_TIMEOUT)
    }

    private fun json(status: HttpStatus, content: ByteArray): HttpResponse =
        HttpResponse.of(ResponseHeaders.of(status, "content-type", "application/json"), HttpData.wrap(content))

    /** The request has not run and will not run. */
    private fun refusal(request: HttpRequest, cause: RefusalCause, reason: String): HttpResponse {
        val identifier = request.headers().get(names.requestIdentifier)
        val remaining = Forwarder.budget(request.headers().get(names.remainingMilliseconds), UNSTATED_BUDGET)
        val after = ReturnAdvice.after(cause, remaining, random)
        metrics.onEvent("refusal", cause.name.lowercase())
        logger.info { "event=refused request=$identifier cause=$cause reason=\"$reason\" retry-after=$after" }
        val seconds = after.inWholeMilliseconds / MILLISECONDS_PER_SECOND
        val headers = ResponseHeaders.builder(HttpStatus.SERVICE_UNAVAILABLE)
            .set("retry-after", "%.2f".format(Locale.ROOT, seconds))
            .build()
        return HttpResponse.of(headers)
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        /** The longest usual time without a leader; a client that is refused loses more than one that waits for it. */
        val SUBMIT_TIMEOUT = 2.seconds
        val CALL_TIMEOUT = 1_400.milliseconds
        const val LONGEST_WAIT_MILLISECONDS = 1_000L
        const val MILLISECONDS_PER_SECOND = 1_000.0

        /** Assumed of a client that does not state how long it waits. */
        val UNSTATED_BUDGET = 2.seconds
    }
}
