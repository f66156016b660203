package org.zinniahoist.gateway.entry

import com.linecorp.armeria.common.ContentTooLargeException
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
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
import org.zinniahoist.policy.routes.KeyFreshness
import org.zinniahoist.policy.routes.RefusalCause
import org.zinniahoist.policy.routes.Route
import org.zinniahoist.policy.routes.RouteKind
import org.zinniahoist.policy.routes.RouteTable
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration
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
    private val keys: KeyFreshness,
    crashes: CrashGuard = PermissiveCrashGuard,
    private val random: Random = Random.Default,
    private val gate: AdmissionGate = AdmissionGate.open(clock),
) : HttpService {
    private val names = dialect.headers
    private val forwarder = Forwarder(names, calls, directory, clock, random, crashes, gate)
    private val streams = StreamForwarder(names, calls, directory, scope, clock, random, crashes, gate)
    private val authentication = CallerAuthentication(names)
    private val refusals = Refusals(names, metrics, random)
    private val jobs = JobRequests(dialect, core, metrics, refusals)
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

    /** Counts the requests of workspaces, or null if usage is not reported. */
    var usage: UsageRecorder? = null

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
            if (mayHaveRun) {
                HttpResponse.of(
                    HttpStatus.GATEWAY_TIMEOUT,
                )
            } else {
                refusals.refuseForShutdown(pendingRequest.request)
            }
        // Also cancels the coroutine that produces the response, and with it its pending upstream calls.
        pendingRequest.response.complete(response)
    }

    private suspend fun respondOrFail(incoming: IncomingRequest): HttpResponse = try {
        val request = incoming.http
        when (val read = RequestBodyReader.read(request, incoming.body, uploadLimit(request))) {
            is ReadBody.Whole -> route(incoming, read.body)
            is ReadBody.NoRoom -> refuseBody(
                incoming,
                refusals.refuse(request, RefusalCause.NO_MEMORY, "no room for the body"),
            )
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
        if (phase == EntryPhase.REFUSING) return refusals.refuseForShutdown(request)
        val table =
            routes ?: return refusals.refuse(request, RefusalCause.NO_CONFIGURATION, "no configuration received")
        val path = RequestTarget.pathOf(request.path())
        val caller = authentication.callerOf(request.headers(), table)
        dialect.clientCall(request.method().name, path, RequestTarget.queryOf(request.path()))?.let {
            return callAboutJob(incoming, it, caller)
        }
        return serveRoute(incoming, body, table, path, caller)
    }

    private suspend fun serveRoute(
        incoming: IncomingRequest,
        body: RequestBody,
        table: RouteTable,
        path: String,
        caller: Caller,
    ): HttpResponse {
        val request = incoming.http
        val host = request.headers().authority().orEmpty().substringBefore(':')
        val route = table.find(host, path)
        if (route == null) {
            logger.info { "event=no-route host=$host path=$path revision=${table.revision}" }
            return HttpResponse.of(HttpStatus.NOT_FOUND)
        }
        if (!route.isPublic) denial(request, caller)?.let { return it }
        table.limits?.let { RequestLimits.violation(request, body.size, it) }?.let { return HttpResponse.of(it) }
        return when (route.kind) {
            RouteKind.BATCH -> jobs.submit(incoming, host, path, body, caller)

            RouteKind.EVENT_STREAM -> stream(request, forwardedRequest(incoming, body, route, caller, table))

            RouteKind.REPEATABLE, RouteKind.AT_MOST_ONCE ->
                forward(incoming, forwardedRequest(incoming, body, route, caller, table), table)
        }
    }

    private suspend fun callAboutJob(incoming: IncomingRequest, call: ClientCall, caller: Caller): HttpResponse {
        // Whether a job needs a key is known only to the leader, which holds the job.
        if (caller !is Caller.Anonymous) denial(incoming.http, caller)?.let { return it }
        return jobs.call(incoming, call, caller)
    }

    /** Returns the response to a request that needs a key if [caller] has no valid one, or null if it has. */
    private fun denial(request: HttpRequest, caller: Caller): HttpResponse? = when {
        !caller.isAuthenticated -> refusals.unauthorized(request, caller)
        caller is Caller.Member && !keys.mayAccept(core.contactAge) ->
            refusals.refuse(request, RefusalCause.STALE_KEYS, "no contact to the service group for ${core.contactAge}")
        else -> null
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
            is Forwarded.NotRun -> refusals.refuse(request, refusalCause(), forwarded.reason)
            is Forwarded.NotAdmitted -> refusals.refuseForCapacity(request, forwarded.expectedWait)
            is Forwarded.Blocked -> refusals.refuse(request, RefusalCause.CRASHES, forwarded.reason)
            is Forwarded.NoAnswer -> HttpResponse.of(HttpStatus.GATEWAY_TIMEOUT)
        }
    }

    private fun respond(answer: WholeAnswer): HttpResponse =
        HttpResponse.of(ForwardedFields.response(answer.headers), HttpData.wrap(answer.body))

    private suspend fun stream(request: HttpRequest, forwardedRequest: ForwardedRequest): HttpResponse =
        when (val stream = streams.forward(forwardedRequest)) {
            is ForwardedStream.Started -> stream.response
            is ForwardedStream.NotRun -> refusals.refuse(request, refusalCause(), stream.reason)
            is ForwardedStream.NotAdmitted -> refusals.refuseForCapacity(request, stream.expectedWait)
            is ForwardedStream.Blocked -> refusals.refuse(request, RefusalCause.CRASHES, stream.reason)
            is ForwardedStream.NoAnswer -> HttpResponse.of(HttpStatus.GATEWAY_TIMEOUT)
        }

    private fun refusalCause(): RefusalCause =
        if (phase == EntryPhase.SERVING) RefusalCause.NO_UPSTREAM else RefusalCause.STOPPING

    private fun forwardedRequest(
        incoming: IncomingRequest,
        body: RequestBody,
        route: Route,
        caller: Caller,
        table: RouteTable,
    ): ForwardedRequest {
        val workspace = (caller as? Caller.Member)?.workspace
        val headers = authentication.forwardedHeaders(incoming.http.headers(), caller)
        val deadline = incoming.arrival + Forwarder.timeBudget(headers.get(names.remainingMilliseconds), route.timeout)
        val identifier = headers.get(names.requestIdentifier)
        usage?.let { it.onBegin(incoming, route) }
        return ForwardedRequest(
            headers,
            body,
            identifier,
            route,
            deadline,
            incoming.response,
            incoming.guard,
            usage?.newRequest(caller) ?: RequestUsage.NONE,
            table.priorityOf(route, workspace),
            workspace,
            incoming.arrival,
        )
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        /** Longest time that a client may take to send a body. */
        val UPLOAD_TIMEOUT = 60.seconds
    }
}
