package org.zinniahoist.operator

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.zinniahoist.settings.BranchEdit
import org.zinniahoist.settings.SettingsTree
import org.zinniahoist.state.coordination.AcceptedEdit
import org.zinniahoist.state.coordination.CoordinationAnswer
import org.zinniahoist.state.coordination.EditResult
import org.zinniahoist.state.report.DrainingRequest
import org.zinniahoist.state.report.ProblemReport
import org.zinniahoist.state.report.StatusReport

/**
 * The operators' HTTP API of the control replicas.
 *
 * All requests are safe to repeat: an edit has an identifier, and the others set a state. So a request that gets no
 * answer goes to the next replica.
 */
internal class ControlApi(
    private val http: HttpAccess,
    private val replicas: List<String>,
) {
    fun tree(): Either<CommandFailure, SettingsTree> = get("/tree", SettingsTree.serializer())

    fun overview(): Either<CommandFailure, CoordinationAnswer.Overview> =
        get("/overview", CoordinationAnswer.Overview.serializer())

    fun status(): Either<CommandFailure, StatusReport> = get("/status", StatusReport.serializer())

    fun history(after: Long, limit: Int): Either<CommandFailure, List<AcceptedEdit>> =
        get("/history?after=$after&limit=$limit", CoordinationAnswer.History.serializer()).map { it.edits }

    /** Reads all edits that control has kept. */
    fun wholeHistory(): Either<CommandFailure, List<AcceptedEdit>> {
        val edits = mutableListOf<AcceptedEdit>()
        while (true) {
            val page = history(edits.lastOrNull()?.revision?.value ?: 0, HISTORY_PAGE).fold({ return it.left() }) { it }
            edits += page
            if (page.size < HISTORY_PAGE) return edits.right()
        }
    }

    fun edit(edit: BranchEdit): Either<CommandFailure, EditResult> {
        val body = Json.encodeToString(BranchEdit.serializer(), edit)
        return call("POST", "/edits", body, resultStatuses = setOf(CONFLICT, UNPROCESSABLE))
            .flatMap { decode(EditResult.serializer(), it) }
    }

    fun publish(model: String, version: Long): Either<CommandFailure, CoordinationAnswer.Published> =
        call("PUT", "/models/$model/versions/$version").flatMap(::published)

    fun withdraw(model: String, version: Long): Either<CommandFailure, CoordinationAnswer.Published> =
        call("DELETE", "/models/$model/versions/$version").flatMap(::published)

    fun drain(instance: String, draining: Boolean): Either<CommandFailure, CoordinationAnswer.Done> {
        val body = Json.encodeToString(DrainingRequest.serializer(), DrainingRequest(draining))
        return call("PUT", "/instances/$instance/draining", body)
            .flatMap { decode(CoordinationAnswer.Done.serializer(), it) }
    }

    private fun published(body: String) = decode(CoordinationAnswer.Published.serializer(), body)

    private fun <T> get(path: String, serializer: KSerializer<T>): Either<CommandFailure, T> =
        call("GET", path).flatMap { decode(serializer, it) }

    private fun call(
        method: String,
        path: String,
        body: String = "",
        resultStatuses: Set<Int> = emptySet(),
    ): Either<CommandFailure, String> {
        val failures = mutableListOf<String>()
        repeat(ROUNDS) {
            for (replica in replicas) {
                val answer = http.call(method, "$replica/control/v1$path", body).fold(
                    { reason ->
                        failures += "$replica: $reason"
                        null
                    },
                    { it },
                ) ?: continue
                if (answer.status == OK || answer.status in resultStatuses) return answer.body.right()
                if (answer.status < SERVER_ERROR) return refusal(answer).left()
                failures += "$replica: ${describe(answer)}"
            }
        }
        val unknown = if (method == "GET") "" else "; the request may have had its effect, running it again is safe"
        return CommandFailure.unavailable(failures.distinct().joinToString("\n") + unknown).left()
    }

    private fun refusal(answer: HttpAnswer): CommandFailure = CommandFailure.refused(describe(answer))

    private fun describe(answer: HttpAnswer): String = try {
        val problem = LENIENT.decodeFromString(ProblemReport.serializer(), answer.body)
        "${problem.status} ${problem.title}, ${problem.verdict}: ${problem.detail}"
    } catch (_: SerializationException) {
        "status ${answer.status}"
    }

    private fun <T> decode(serializer: KSerializer<T>, body: String): Either<CommandFailure, T> = Either
        .catch { LENIENT.decodeFromString(serializer, body) }
        .mapLeft { CommandFailure.unavailable("can't read the answer of control: ${it.message}") }

    private companion object {
        /** A replica that just lost its leader can answer on the second round. */
        const val ROUNDS = 2
        const val HISTORY_PAGE = 1_000
        const val OK = 200
        const val CONFLICT = 409
        const val UNPROCESSABLE = 422
        const val SERVER_ERROR = 500
        val LENIENT = Json { ignoreUnknownKeys = true }
    }
}
