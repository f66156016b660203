package org.zinniahoist.gateway.entry

import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import io.github.oshai.kotlinlogging.KotlinLogging
import org.zinniahoist.gateway.dialect.ClientCall
import org.zinniahoist.gateway.dialect.PlatformDialect
import org.zinniahoist.gateway.link.CoreClient
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.gateway.upstream.AnswerMemoryException
import org.zinniahoist.gateway.upstream.RequestBody
import org.zinniahoist.policy.routes.RefusalCause
import org.zinniahoist.wire.JobAccess
import org.zinniahoist.wire.ServiceCall
import org.zinniahoist.wire.ServiceReply
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Passes submissions of batch jobs and calls about them to the leader of the service group. */
internal class JobRequests(
    dialect: PlatformDialect,
    private val core: CoreClient,
    private val metrics: GatewayMetrics,
    private val refusals: Refusals,
) {
    private val names = dialect.headers
    private val responses = JobResponses(dialect)

    /** Submits the batch job in [body] on behalf of [caller], who may submit it to [host] and [path]. */
    suspend fun submit(
        incoming: IncomingRequest,
        host: String,
        path: String,
        body: RequestBody,
        caller: Caller,
    ): HttpResponse {
        val request = incoming.http
        val job = request.headers().get(names.requestIdentifier) ?: return HttpResponse.of(HttpStatus.BAD_REQUEST)
        if (request.method() != HttpMethod.POST) return HttpResponse.of(HttpStatus.METHOD_NOT_ALLOWED)
        val hasRoom = incoming.body.tryReserve(SUBMISSION_COPIES * body.size)
        if (!hasRoom) return refusals.refuse(request, RefusalCause.NO_MEMORY, "no room for the batch job")
        if (!incoming.guard.tryDispatchToCore()) return refusals.refuseForShutdown(request)
        // A job that is submitted on a public route with an unknown key belongs to no workspace.
        val access = caller.jobAccess() ?: JobAccess.Anonymous
        val reply = core.callLeader(ServiceCall.SubmitJob(host, path, job, body.toByteArray(), access), SUBMIT_TIMEOUT)
        metrics.onEvent("job_submission", reply.javaClass.simpleName)
        logger.info { "event=job-submission job=$job bytes=${body.size} reply=${reply::class.simpleName}" }
        return respond(incoming, reply, success = HttpStatus.ACCEPTED)
    }

    /** Makes [call] on behalf of [caller]. The leader decides whether the caller may access the job. */
    suspend fun call(incoming: IncomingRequest, call: ClientCall, caller: Caller): HttpResponse {
        val request = incoming.http
        val access = caller.jobAccess() ?: return refusals.unauthorized(request, caller)
        val wait = request.headers().get(names.waitMilliseconds)?.trim()?.toLongOrNull() ?: 0
        val serviceCall = when (call) {
            is ClientCall.ReadJob -> ServiceCall.ReadJob(
                call.job,
                call.after,
                wait.coerceIn(0, MAXIMUM_WAIT_MILLISECONDS),
                acceptsPacked = true,
                access = access,
            )
            is ClientCall.ReadItem -> ServiceCall.ReadItem(call.job, call.item, access)
            is ClientCall.EndJob -> ServiceCall.EndJob(call.job, access)
            is ClientCall.Malformed -> return HttpResponse.of(HttpStatus.BAD_REQUEST)
        }
        if (!incoming.guard.tryDispatchToCore()) return refusals.refuseForShutdown(request)
        val reply = core.callLeader(serviceCall, CALL_TIMEOUT + waitOf(serviceCall))
        logger.info { "event=job-call call=$call reply=${reply::class.simpleName}" }
        return respond(incoming, reply, success = HttpStatus.OK)
    }

    private fun waitOf(call: ServiceCall): Duration =
        if (call is ServiceCall.ReadJob) call.waitMilliseconds.milliseconds else Duration.ZERO

    private fun respond(incoming: IncomingRequest, reply: ServiceReply, success: HttpStatus): HttpResponse =
        when (reply) {
            is ServiceReply.Unavailable -> refusals.refuse(incoming.http, RefusalCause.NO_LEADER, reply.detail)

            is ServiceReply.Unauthorized -> refusals.unauthorized(incoming.http, Caller.Anonymous)

            else -> try {
                responses.of(reply, success, incoming.response)
            } catch (exhausted: AnswerMemoryException) {
                // Not a 503, which would say that the call has not run.
                logger.warn { "event=job-response-discarded path=${incoming.http.path()} cause=\"$exhausted\"" }
                HttpResponse.of(HttpStatus.GATEWAY_TIMEOUT)
            }
        }

    private companion object {
        val logger = KotlinLogging.logger {}

        /** Usual maximum time without a leader; a refusal costs a client more than waiting for the new leader. */
        val SUBMIT_TIMEOUT = 2.seconds

        /** Copies of a batch job in memory while it is sent: its pieces, the joined body and the encoded call. */
        const val SUBMISSION_COPIES = 3L
        val CALL_TIMEOUT = 1_400.milliseconds
        const val MAXIMUM_WAIT_MILLISECONDS = 1_000L
    }
}
