package org.zinniahoist.daemon.control

import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.ServiceRequestContext
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.future.await
import kotlinx.coroutines.future.future
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.settings.BranchEdit
import org.zinniahoist.settings.EditConflict
import org.zinniahoist.settings.SettingsTree
import org.zinniahoist.state.StateCodec
import org.zinniahoist.state.coordination.CoordinationAnswer
import org.zinniahoist.state.coordination.CoordinationCommand
import org.zinniahoist.state.coordination.CoordinationQuery
import org.zinniahoist.state.coordination.EditResult
import org.zinniahoist.state.report.DrainingRequest
import org.zinniahoist.state.report.StatusReport

/**
 * The operators' HTTP API under `/control/v1/`.
 *
 * @param operators access by the SHA-256 hash of the bearer token in lower-case hexadecimal digits; null admits
 * everybody.
 */
public class ControlHttp(
    private val control: ControlClient,
    private val status: () -> StatusReport,
    private val operators: Map<String, OperatorAccess>? = null,
) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)

    /** Adds the routes to [builder]. */
    public fun configure(builder: ServerBuilder) {
        builder.route().get("$PREFIX/tree").handle { tree() }
        builder.route().post("$PREFIX/edits").handle { edit(it) }
        builder.route().get("$PREFIX/history").handle { history(it) }
        builder.route().get("$PREFIX/overview").handle { overview() }
        builder.route().get("$PREFIX/status").handle { json(StatusReport.serializer(), status()) }
        val version = "$PREFIX/models/{model}/versions/{version}"
        builder.route().put(version).handle { command(CoordinationCommand.PublishVersion(it.model(), it.version())) }
        builder.route().delete(version).handle {
            command(CoordinationCommand.WithdrawVersion(it.model(), it.version()))
        }
        builder.route().put("$PREFIX/instances/{instance}/draining").handle { drain(it) }
        builder.route().pathPrefix("$PREFIX/").handle {
            throw Rejection(HttpStatus.NOT_FOUND, "no route for ${it.http.method()} ${it.http.path()}")
        }
    }

    private suspend fun tree(): HttpResponse =
        json(SettingsTree.serializer(), read<CoordinationAnswer.Tree>(CoordinationQuery.ReadTree).tree)

    private suspend fun overview(): HttpResponse =
        json(CoordinationAnswer.Overview.serializer(), read(CoordinationQuery.ReadOverview))

    private suspend fun history(call: Call): HttpResponse {
        val after = call.number("after", "0", 0..Long.MAX_VALUE)
        val limit = call.number("limit", "100", 1..MAXIMUM_HISTORY)
        return json(
            CoordinationAnswer.History.serializer(),
            read(CoordinationQuery.ReadHistory(after, limit.toInt())),
        )
    }

    private suspend fun edit(call: Call): HttpResponse {
        val edit = call.body(BranchEdit.serializer())
        val access = call.access
        if (access != null && (edit.operator != access.operator || edit.office !in access.offices)) {
            val detail = "the token belongs to operator ${access.operator} of ${access.offices.joinToString()}, " +
                "not to operator ${edit.operator} of ${edit.office}"
            throw Rejection(HttpStatus.FORBIDDEN, detail)
        }
        val result = write<CoordinationAnswer.Edited>(CoordinationCommand.Edit(edit)).result
        return json(EditResult.serializer(), result, statusOf(result))
    }

    private suspend fun drain(call: Call): HttpResponse {
        val instance = InstanceName(call.name("instance"))
        val draining = call.body(DrainingRequest.serializer()).draining
        val answer = write<CoordinationAnswer.Done>(CoordinationCommand.SetDraining(instance, draining))
        return json(CoordinationAnswer.Done.serializer(), answer)
    }

    private suspend fun command(command: CoordinationCommand): HttpResponse =
        json(CoordinationAnswer.Published.serializer(), write(command))

    private suspend inline fun <reified T : CoordinationAnswer> read(query: CoordinationQuery): T =
        decode(control.query(GroupName.SETTINGS, StateCodec.encode(query)))

    private suspend inline fun <reified T : CoordinationAnswer> write(command: CoordinationCommand): T =
        decode(control.command(GroupName.SETTINGS, StateCodec.encode(command)))

    private inline fun <reified T : CoordinationAnswer> decode(result: ControlResult): T = when (result) {
        is ControlResult.NotApplied -> throw Rejection(HttpStatus.SERVICE_UNAVAILABLE, result.reason)

        is ControlResult.OutcomeUnknown ->
            throw Rejection(HttpStatus.GATEWAY_TIMEOUT, "outcome unknown: ${result.reason}", mayHaveRun = true)

        is ControlResult.Answered -> when (val answer = StateCodec.decode<CoordinationAnswer>(result.content)) {
            is T -> answer
            else -> error("unexpected answer $answer")
        }
    }

    private fun statusOf(result: EditResult): HttpStatus = when (result) {
        is EditResult.Accepted -> HttpStatus.OK
        is EditResult.Refused ->
            if (result.error is EditConflict) HttpStatus.CONFLICT else HttpStatus.UNPROCESSABLE_ENTITY
        EditResult.IdentifierReused -> HttpStatus.CONFLICT
    }

    private fun com.linecorp.armeria.server.ServiceBindingBuilder.handle(handler: suspend (Call) -> HttpResponse) {
        build { context, request -> HttpResponse.of(scope.future { answer(context, request, handler) }) }
    }

    private suspend fun answer(
        context: ServiceRequestContext,
        request: HttpRequest,
        handler: suspend (Call) -> HttpResponse,
    ): HttpResponse = try {
        // The body is read before any refusal, so that a client that is still sending it gets the answer.
        val content = request.aggregate().await().content().array()
        handler(Call(context, request, content, accessOf(request.headers().get(HttpHeaderNames.AUTHORIZATION))))
    } catch (rejection: Rejection) {
        problem(rejection)
    } catch (_: com.linecorp.armeria.common.ContentTooLargeException) {
        problem(Rejection(HttpStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large"))
    } catch (fault: IllegalStateException) {
        logger.error(fault) { "event=control-request-failed path=${context.path()}" }
        problem(Rejection(HttpStatus.INTERNAL_SERVER_ERROR, "internal error", mayHaveRun = true))
    }

    private fun accessOf(authorization: String?): OperatorAccess? {
        val known = operators ?: return null
        return findOperator(known, authorization)
            ?: throw Rejection(HttpStatus.UNAUTHORIZED, "no operator has this bearer token")
    }

    private class Call(
        val context: ServiceRequestContext,
        val http: HttpRequest,
        private val content: ByteArray,
        val access: OperatorAccess?,
    ) {
        fun <T> body(serializer: KSerializer<T>): T {
            if (content.size > MAXIMUM_BODY_BYTES) {
                throw Rejection(HttpStatus.REQUEST_ENTITY_TOO_LARGE, "the body exceeds $MAXIMUM_BODY_BYTES bytes")
            }
            return try {
                CONTROL_JSON.decodeFromString(serializer, content.decodeToString())
            } catch (fault: SerializationException) {
                throw Rejection(HttpStatus.BAD_REQUEST, fault.message.orEmpty(), cause = fault)
            }
        }

        fun number(name: String, default: String, allowed: LongRange): Long =
            (context.queryParam(name) ?: default).toLongOrNull()?.takeIf { it in allowed }
                ?: throw Rejection(
                    HttpStatus.BAD_REQUEST,
                    "'$name' has to be a number from ${allowed.first} to ${allowed.last}",
                )

        fun name(parameter: String): String = context.pathParam(parameter).orEmpty().also {
            if (!NAME.matches(it)) {
                throw Rejection(HttpStatus.BAD_REQUEST, "'$it' is no name of lower-case letters, digits, '-' and '_'")
            }
        }

        fun model() = ModelName(name("model"))

        fun version(): WeightVersion = context.pathParam("version")?.toLongOrNull()?.takeIf { it >= 0 }
            ?.let(::WeightVersion)
            ?: throw Rejection(HttpStatus.BAD_REQUEST, "the version has to be a number from 0")
    }

    private companion object {
        const val PREFIX = "/control/v1"
        const val MAXIMUM_HISTORY = 1_000L

        /** Half of the largest command that a replicated log takes; the CBOR form is smaller than the JSON form. */
        const val MAXIMUM_BODY_BYTES = 512 * 1_024

        val NAME = Regex("[a-z0-9_-]+")
        val logger = KotlinLogging.logger {}
    }
}
