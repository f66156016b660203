package org.zinniahoist.gateway.entry

import com.linecorp.armeria.common.ContentTooLargeException
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.future.future
import org.zinniahoist.gateway.dialect.ClientCall
import org.zinniahoist.gateway.dialect.PlatformDialect
import org.zinniahoist.gateway.link.CoreClient
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.gateway.upstream.CrashGuard
import org.zinniahoist.gateway.upstream.ForwardedFields
import org.zinniahoist.gateway.upstream.PermissiveCrashGuard
import org.zinniahoist.gateway.upstream.RequestBody
import org.zinniahoist.gateway.upstream.UpstreamCalls
import org.zinniahoist.gateway.upstream.WholeAnswer
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RequestTarget
import org.zinniahoist.policy.routes.RefusalCause
import org.zinniahoist.policy.routes.RetryAfterPolicy
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

/** Handles all client requests over HTTP. */
internal class EntryHttp(
    private val dialect: PlatformDialect,
    private val core: CoreClient,
    private val directory: UpstreamDirectory,
    private val calls: UpstreamCalls,
    private val scope: CoroutineScope,
    private val clock: () -> Moment,
    private val metrics: GatewayMetrics,
    private val memory: EntryMemory,
    crashes: CrashGuard = PermissiveCrashGuard,
    private val random: Random = Random.Default,
) : HttpService {
    private val names = dialect.headers
    private val forwarder = Forwarder(names, calls, directory, clock, random, crashes)
    private val streams = StreamForwarder(names, calls, directory, scope, clock, random, crashes)
    private val jobResponses = JobResponses(dialect)
    private val inFlight = AtomicInteger()
    private val open: MutableSet<PendingRequest> = ConcurrentHashMap.newKeySet()

    /** The active routes, or null before the first configuration has been received. */
    @Volatile
    var routes: RouteTable? = null

    @Volatile
    var phase: EntryPhase = EntryPhase.SERVING

    /** Time at which the entry stops serving, or null while it is not shutting down. */
    @Volatile
    var serviceEnd: Moment? = null

    /** Number of requests without a complete response. */
    val requestsInFlight: Int get() = inFlight.get()

    override fun serve(context: ServiceRequestContext, request: HttpRequest): HttpResponse {
        // Counted before the phase is read, so that no uncounted request is forwarded once REFUSING has begun.
        inFlight.incrementAndGet()
        val incoming = IncomingRequest(context, request, clock(), DispatchGuard { serviceEnd }, memory)
        context.log().whenComplete().thenRun {
            inFlight.decrementAndGet()
            incoming.close()
        }
        if (phase != EntryPhase.SERVING) context.initiateConnectionShutdown()
        val response = scope.future { respondOrFail(incoming) }
        val pendingRequest = PendingRequest(request, incoming.guard, response)
        open += pendingRequest
        response.whenComplete { _, _ -> open -= pendingRequest }
        val deferred = HttpResponse.of(response)
        deferred.whenComplete().handle { _, failure ->
            if (failure != null) response.cancel(true)
        }
        return deferred
    }

    /** Completes each pending request: with a refusal if it was not dispatched, otherwise with status 504. */
    fun completePendingRequests(): Unit = open.toList().forEach { pendingRequest ->
        val mayHaveRun = pendingRequest.guard.close()
        val response =
            if (mayHaveRun) HttpResponse.of(HttpStatus.GATEWAY_TIMEOUT) else refuseForShutdown(pendingRequest.request)
        // Also cancels the coroutine that produces the response, and with it its pending upstream calls.
        pendingRequest.response.complete(response)
    }

    private suspend fun respondOrFail(incoming: IncomingRequest): HttpResponse = try {
        val request = incoming.http
        when (val read = RequestBodyReader.read(request, incoming.body, uploadLimit(request))) {
            is ReadBody.Whole -> route(incoming, read.body)
            is ReadBody.NoRoom -> refuseBody(incoming, refusal(request, RefusalCause.NO_MEMORY, "no room for the body"))
            is ReadBody.Late -> refuseBody(incoming, HttpResponse.of(HttpStatus.REQUEST_TIMEOUT))
        }
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (_: ContentTooLargeException) {
        HttpResponse.of(HttpStatus.REQUEST_ENTITY_TOO_LARGE)
    } catch (failure: Exception) {
        logger.warn { "event=request-failed path=${incoming.http.path()} cause=\"${UpstreamCalls.rootOf(failure)}\"" }
        HttpResponse.of(HttpStatus.BAD_GATEWAY)
    }

    private fun refuseForShutdown(request: HttpRequest): HttpResponse =
        refusal(request, RefusalCause.STOPPING, "the process is shutting down")

    private fun uploadLimit(request: HttpRequest): Duration =
        Forwarder.timeBudget(request.headers().get(names.remainingMilliseconds), UPLOAD_TIMEOUT)

    /** Ends the connection after [response], because the rest of the body is not read. */
    private fun refuseBody(incoming: IncomingRequest, response: HttpResponse): HttpResponse {
        incoming.context.initiateConnectionShutdown()
        return response
    }

    private suspend fun route(incoming: IncomingRequest, body: RequestBody): HttpResponse {
        val request = incoming.http
        // Checked after the body, whose upload may take long: a request completed in REFUSING must not be forwarded.
        if (phase == EntryPhase.REFUSING) return refuseForShutdown(request)
        val path = RequestTarget.pathOf(request.path())
        dialect.clientCall(request.method().name, path, RequestTarget.queryOf(request.path()))?.let {
            return handleJobCall(request, it, incoming.guard)
        }
        val table = routes ?: return refusal(request, RefusalCause.NO_CONFIGURATION, "no configuration received")
        val host = request.headers().authority().orEmpty().substringBefore(':')
        val route = table.find(host, path)
        if (route == null) {
            logger.info { "event=no-route host=$host path=$path revision=${table.revision}" }
            return HttpResponse.of(HttpStatus.NOT_FOUND)
        }
        table.limits?.let { RequestLimits.violation(request, body.size, it) }?.let { return HttpResponse.of(it) }
        return when (route.kind) {
            RouteKind.BATCH -> submit(incoming, host, path, body)

            RouteKind.EVENT_STREAM -> stream(request, forwardedRequest(incoming, body, route))

            RouteKind.REPEATABLE, RouteKind.AT_MOST_ONCE ->
                forward(incoming, forwardedRequest(incoming, body, route), table)
        }
    }

    private suspend fun forward(
        incoming: IncomingRequest,
        forwardedRequest: ForwardedRequest,
        table: RouteTable,
    ): HttpResponse {
        val forwarded = forwarder.forward(forwardedRequest)
        val time = clock() - incoming.arrival
        logger.info {
            "event=request request=${forwardedRequest.identifier} route=${forwardedRequest.route.name} " +
                "revision=${table.revision} outcome=${forwarded.logText} milliseconds=${time.inWholeMilliseconds}"
        }
        metrics.onRequest(forwarded.label, time)
        val request = incoming.http
        return when (forwarded) {
            is Forwarded.Answer -> respond(forwarded.answer)
            is Forwarded.NotRun -> refusal(request, refusalCause(), forwarded.reason)
            is Forwarded.Blocked -> refusal(request, RefusalCause.CRASHES, forwarded.reason)
            is Forwarded.NoAnswer -> HttpResponse.of(HttpStatus.GATEWAY_TIMEOUT)
        }
    }

    private fun respond(answer: WholeAnswer): HttpResponse =
        HttpResponse.of(ForwardedFields.response(answer.headers), HttpData.wrap(answer.body))

    private suspend fun stream(request: HttpRequest, forwardedRequest: ForwardedRequest): HttpResponse =
        when (val stream = streams.forward(forwardedRequest)) {
            is ForwardedStream.Started -> stream.response
            is ForwardedStream.NotRun -> refusal(request, refusalCause(), stream.reason)
            is ForwardedStream.Blocked -> refusal(request, RefusalCause.CRASHES, stream.reason)
            is ForwardedStream.NoAnswer -> HttpResponse.of(HttpStatus.GATEWAY_TIMEOUT)
        }

    private fun refusalCause(): RefusalCause =
        if (phase == EntryPhase.SERVING) RefusalCause.NO_UPSTREAM else RefusalCause.STOPPING

    private fun forwardedRequest(incoming: IncomingRequest, body: RequestBody, route: Route): ForwardedRequest {
        val headers = incoming.http.headers()
        val deadline = incoming.arrival + Forwarder.timeBudget(headers.get(names.remainingMilliseconds), route.timeout)
        val identifier = headers.get(names.requestIdentifier)
        return ForwardedRequest(headers, body, identifier, route, deadline, incoming.response, incoming.guard)
    }

    private suspend fun submit(
        incoming: IncomingRequest,
        host: String,
        path: String,
        body: RequestBody,
    ): HttpResponse {
        val request = incoming.http
        val job = request.headers().get(names.requestIdentifier) ?: return HttpResponse.of(HttpStatus.BAD_REQUEST)
        if (request.method() != HttpMethod.POST) return HttpResponse.of(HttpStatus.METHOD_NOT_ALLOWED)
        val hasRoom = incoming.body.tryReserve(SUBMISSION_COPIES * body.size)
        if (!hasRoom) return refusal(request, RefusalCause.NO_MEMORY, "no room for the batch job")
        if (!incoming.guard.tryDispatchToCore()) return refuseForShutdown(request)
        val reply = core.callLeader(ServiceCall.SubmitJob(host, path, job, body.toByteArray()), SUBMIT_TIMEOUT)
        metrics.onEvent("job_submission", reply.javaClass.simpleName)
        logger.info { "event=job-submission job=$job bytes=${body.size} reply=${reply::class.simpleName}" }
        return respond(request, reply, success = HttpStatus.ACCEPTED)
    }

    private suspend fun handleJobCall(request: HttpRequest, call: ClientCall, guard: DispatchGuard): HttpResponse {
        val wait = request.headers().get(names.waitMilliseconds)?.trim()?.toLongOrNull() ?: 0
        val serviceCall = when (call) {
            is ClientCall.ReadJob -> ServiceCall.ReadJob(
                call.job,
                call.after,
                wait.coerceIn(0, MAXIMUM_WAIT_MILLISECONDS),
                acceptsPacked = true,
            )
            is ClientCall.ReadItem -> ServiceCall.ReadItem(call.job, call.item)
            is ClientCall.EndJob -> ServiceCall.EndJob(call.job)
            is ClientCall.Malformed -> return HttpResponse.of(HttpStatus.BAD_REQUEST)
        }
        if (!guard.tryDispatchToCore()) return refuseForShutdown(request)
        val reply = core.callLeader(serviceCall, CALL_TIMEOUT + waitOf(serviceCall))
        logger.info { "event=job-call call=$call reply=${reply::class.simpleName}" }
        return respond(request, reply, success = HttpStatus.OK)
    }

    private fun waitOf(call: ServiceCall): Duration =
        if (call is ServiceCall.ReadJob) call.waitMilliseconds.milliseconds else Duration.ZERO

    private fun respond(request: HttpRequest, reply: ServiceReply, success: HttpStatus): HttpResponse =
        if (reply is ServiceReply.Unavailable) {
            refusal(request, RefusalCause.NO_LEADER, reply.detail)
        } else {
            jobResponses.of(reply, success)
        }

    /** Returns a 503 with a retry-after header for a request that has not run and will not run. */
    private fun refusal(request: HttpRequest, cause: RefusalCause, reason: String): HttpResponse {
        val identifier = request.headers().get(names.requestIdentifier)
        val remaining = Forwarder.timeBudget(request.headers().get(names.remainingMilliseconds), DEFAULT_TIME_BUDGET)
        val after = RetryAfterPolicy.after(cause, remaining, random)
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

        /** Usual maximum time without a leader; a refusal costs a client more than waiting for the new leader. */
        val SUBMIT_TIMEOUT = 2.seconds

        /** Longest time that a client may take to send a body. */
        val UPLOAD_TIMEOUT = 60.seconds

        /** Copies of a batch job in memory while it is sent: its pieces, the joined body and the encoded call. */
        const val SUBMISSION_COPIES = 3L
        val CALL_TIMEOUT = 1_400.milliseconds
        const val MAXIMUM_WAIT_MILLISECONDS = 1_000L
        const val MILLISECONDS_PER_SECOND = 1_000.0

        /** Time budget of a client that does not send its remaining time. */
        val DEFAULT_TIME_BUDGET = 2.seconds
    }
}
