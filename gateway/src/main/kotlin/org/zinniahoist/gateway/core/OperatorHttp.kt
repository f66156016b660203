package org.zinniahoist.gateway.core

import arrow.core.getOrElse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.future.future
import kotlinx.coroutines.withTimeoutOrNull
import org.zinniahoist.consensus.GroupHost
import org.zinniahoist.gateway.dialect.OperatorCall
import org.zinniahoist.gateway.dialect.PlatformDialect
import org.zinniahoist.gateway.entry.BodyBudget
import org.zinniahoist.gateway.entry.ReadBody
import org.zinniahoist.gateway.entry.RequestBodyReader
import org.zinniahoist.gateway.link.DocumentCompression
import org.zinniahoist.gateway.upstream.AnswerMemoryException
import org.zinniahoist.gateway.upstream.RequestBody
import org.zinniahoist.gateway.upstream.ResponseMemory
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.InstanceName
import org.zinniahoist.policy.routes.ServiceConfiguration
import org.zinniahoist.policy.routes.faultOf
import org.zinniahoist.state.service.ServiceCommand
import org.zinniahoist.state.service.ServiceStateMachine
import org.zinniahoist.wire.ServiceCall
import org.zinniahoist.wire.ServiceReply
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** HTTP service for calls of operators and trainers. Followers redirect the caller to the leader. */
internal class OperatorHttp(
    private val dialect: PlatformDialect,
    private val jobs: JobCallHandler,
    private val machine: ServiceStateMachine,
    private val host: GroupHost,
    private val links: CoreLinks,
    private val retirements: Retirements,
    private val scope: CoroutineScope,
    private val port: Int,
    private val memory: OperatorMemory = OperatorMemory(Runtime.getRuntime().maxMemory()),
) : HttpService {
    override fun serve(context: ServiceRequestContext, request: HttpRequest): HttpResponse {
        val body = memory.requests.newReservation()
        val response = memory.responses.newReservation()
        context.log().whenComplete().thenRun {
            body.close()
            response.close()
        }
        return HttpResponse.of(scope.future { answer(context, request, body, response) })
    }

    private suspend fun answer(
        context: ServiceRequestContext,
        request: HttpRequest,
        reservation: BodyBudget.Reservation,
        responseMemory: ResponseMemory.Reservation,
    ): HttpResponse {
        val method = request.method().name
        val path = request.path()
        val call = dialect.operatorCall(method, path.substringBefore('?'))
        val read = try {
            RequestBodyReader.read(request, reservation, UPLOAD_TIMEOUT)
        } catch (failure: Exception) {
            logger.info { "event=operator-request-broken path=$path cause=\"$failure\"" }
            return HttpResponse.of(HttpStatus.BAD_REQUEST)
        }
        if (read !is ReadBody.Whole) {
            logger.info { "event=operator-body-refused path=$path cause=${read::class.simpleName}" }
            // The rest of the body is not read.
            context.initiateConnectionShutdown()
            val isLate = read is ReadBody.Late
            return HttpResponse.of(if (isLate) HttpStatus.REQUEST_TIMEOUT else HttpStatus.SERVICE_UNAVAILABLE)
        }
        val body = read.body
        if (call == null) return HttpResponse.of(HttpStatus.NOT_FOUND)
        val response = withTimeoutOrNull(ANSWER_TIMEOUT) { execute(call, body) }
            ?: Outcome(HttpStatus.SERVICE_UNAVAILABLE, "call not completed within $ANSWER_TIMEOUT")
        logger.info {
            "event=operator-call call=$call status=${response.status.code()} bytes=${body.size} " +
                "detail=\"${response.detail}\""
        }
        return try {
            responseMemory.reserve(response.content.size)
            response.toHttp(path)
        } catch (exhausted: AnswerMemoryException) {
            logger.warn { "event=operator-response-discarded path=$path cause=\"$exhausted\"" }
            HttpResponse.of(HttpStatus.GATEWAY_TIMEOUT)
        }
    }

    private suspend fun execute(call: OperatorCall, body: RequestBody): Outcome = when (call) {
        is OperatorCall.Configure -> configure(body.toByteArray())
        is OperatorCall.ReadConfiguration -> readConfiguration()
        is OperatorCall.NameVersion -> nameVersion(body.toByteArray())
        is OperatorCall.Retire -> retire(call.machine)
        is OperatorCall.ReadRetirement -> readRetirement(call.machine)
    }

    private suspend fun configure(document: ByteArray): Outcome = dialect.configuration(document).fold(
        { Outcome(HttpStatus.BAD_REQUEST, it.toString()) },
        { configuration ->
            faultOf(configuration)?.let { Outcome(HttpStatus.BAD_REQUEST, it.toString()) }
                ?: accept(configuration, document)
        },
    )

    private suspend fun accept(configuration: ServiceConfiguration, document: ByteArray): Outcome {
        if (!host.status.isLeader) return redirectToLeader(host.status.leader)
        val command = ServiceCommand.AcceptConfiguration(configuration.revision, DocumentCompression.compress(document))
        return outcome(jobs.propose(command), "revision ${configuration.revision}")
    }

    private suspend fun readConfiguration(): Outcome = when (val reply = jobs.answer(ServiceCall.NewestConfiguration)) {
        is ServiceReply.Document ->
            Outcome(HttpStatus.OK, "revision ${reply.revision}", DocumentCompression.expand(reply.content))

        is ServiceReply.NotFound -> Outcome(HttpStatus.SERVICE_UNAVAILABLE, "no configuration yet")

        else -> outcome(reply, "")
    }

    private suspend fun nameVersion(body: ByteArray): Outcome {
        val named = dialect.namedVersion(body) ?: return Outcome(HttpStatus.BAD_REQUEST, "unreadable")
        val command = ServiceCommand.NameVersion(named.model, named.version)
        return outcome(jobs.propose(command), "model ${named.model} version ${named.version}")
    }

    private suspend fun retire(name: String): Outcome {
        if (!host.status.isLeader) return redirectToLeader(host.status.leader)
        val instance = links.replicaOn(name) ?: return Outcome(HttpStatus.NOT_FOUND, "unknown machine")
        val mayRetire = jobs.readLinearizable { mayRetire(name, instance) }.getOrElse { return outcome(it, "") }
        if (!mayRetire) return Outcome(HttpStatus.CONFLICT, "too few replicas would remain")
        return outcome(jobs.propose(ServiceCommand.RetireInstance(name, instance)), "instance $instance")
    }

    private fun mayRetire(name: String, instance: InstanceName): Boolean {
        val others = machine.retirements.filterKeys { it != name }.values.map { it.instance }.toSet()
        return name in machine.retirements || retirements.mayRetire(instance, others)
    }

    private suspend fun readRetirement(name: String): Outcome {
        val read = jobs.readLinearizable { machine.retirements[name]?.instance?.let(retirements::isComplete) }
        val isComplete = read.getOrElse { return outcome(it, "") }
            ?: return Outcome(HttpStatus.NOT_FOUND, "not retiring")
        return Outcome(HttpStatus.OK, "complete $isComplete", dialect.retirement(isComplete))
    }

    private fun outcome(reply: ServiceReply, detail: String): Outcome = when (reply) {
        is ServiceReply.Done -> Outcome(HttpStatus.OK, detail)
        is ServiceReply.NotLeader -> redirectToLeader(reply.leader)
        is ServiceReply.Unavailable -> Outcome(HttpStatus.SERVICE_UNAVAILABLE, reply.detail)
        is ServiceReply.OutcomeUnknown -> Outcome(HttpStatus.SERVICE_UNAVAILABLE, reply.detail)
        is ServiceReply.Invalid -> Outcome(HttpStatus.BAD_REQUEST, reply.detail)
        else -> Outcome(HttpStatus.SERVICE_UNAVAILABLE, "unexpected reply")
    }

    private fun redirectToLeader(leader: InstanceName?): Outcome {
        val host = leader?.let { Endpoint.parse(it.value) }?.host
        return if (host == null) {
            Outcome(HttpStatus.SERVICE_UNAVAILABLE, "no leader")
        } else {
            Outcome(HttpStatus.TEMPORARY_REDIRECT, "leader $leader", redirect = Endpoint(host, port))
        }
    }

    private class Outcome(
        val status: HttpStatus,
        val detail: String,
        val content: ByteArray = EMPTY,
        val redirect: Endpoint? = null,
    ) {
        fun toHttp(path: String): HttpResponse {
            val headers = ResponseHeaders.builder(status).contentType(MediaType.JSON)
            if (redirect != null) headers.set("location", "http://$redirect$path")
            return HttpResponse.of(headers.build(), HttpData.wrap(if (content.isEmpty()) EMPTY_OBJECT else content))
        }
    }

    companion object {
        private val logger = KotlinLogging.logger {}
        private val EMPTY = ByteArray(0)
        private val EMPTY_OBJECT = "{}".encodeToByteArray()

        /** Longest time that an operator may take to send a body. */
        private val UPLOAD_TIMEOUT = 60.seconds

        /** Shorter than the one second after which callers try another replica. */
        val ANSWER_TIMEOUT = 900.milliseconds
    }
}
