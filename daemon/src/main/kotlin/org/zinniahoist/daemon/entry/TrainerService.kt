package org.zinniahoist.daemon.entry

import arrow.core.getOrElse
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.zinniahoist.daemon.control.ControlFailure
import org.zinniahoist.daemon.control.GroupName
import org.zinniahoist.daemon.control.LedgerClient
import org.zinniahoist.model.FailureReason
import org.zinniahoist.model.RefusalReason
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.Verdict
import org.zinniahoist.settings.EffectiveSettings
import org.zinniahoist.settings.TrainerTerms
import org.zinniahoist.state.ledger.LedgerAnswer
import org.zinniahoist.state.ledger.LedgerCommand
import org.zinniahoist.state.samples.SubmitResult
import kotlin.time.Duration.Companion.seconds

/** Response to a trainer, which an entry can also send to a peer entry. */
internal class TrainerResponse(
    val status: Int,
    val contentType: String,
    val body: ByteArray,
) {
    companion object {
        fun json(status: Int, body: String) = TrainerResponse(status, LiveService.JSON_MEDIA_TYPE, body.toByteArray())

        fun problem(problem: Problem) =
            TrainerResponse(problem.status, Problem.MEDIA_TYPE, problem.toJson().toByteArray())

        fun refusal(reason: RefusalReason, detail: String, request: RequestIdentifier) =
            problem(Problem(Verdict.NotRun(reason, detail), request))
    }
}

/** Handles requests of trainers: authenticates them and applies them to the ledger or at the lease holder. */
internal class TrainerService(
    private val ledger: LedgerClient,
    private val leases: TrainerLeases,
    private val versions: VersionPublisher,
) {
    suspend fun handle(exchange: Exchange, settings: EffectiveSettings) {
        val terms = BearerTokens.trainer(settings, exchange.header("authorization"))
            ?: return exchange.refuse(RefusalReason.UNAUTHORIZED)
        val body = exchange.body()
        val request = TrainerRequestParser.read(exchange.method, exchange.target, body).getOrElse {
            val reason = if (it.unknownRoute) RefusalReason.UNKNOWN_ROUTE else RefusalReason.MALFORMED
            return exchange.refuse(reason, it.detail)
        }
        if (request.trainer != terms.contract.trainer || request is TrainerRequest.Refresh) {
            return exchange.refuse(RefusalReason.UNAUTHORIZED, "the token is of another trainer")
        }
        val answer = perform(request, terms, exchange, body)
        exchange.respond(answer.status, answer.contentType, answer.body)
    }

    private suspend fun perform(
        request: TrainerRequest,
        terms: TrainerTerms,
        exchange: Exchange,
        body: ByteArray,
    ): TrainerResponse {
        val group = GroupName.ledger(terms.contract.homeRegion)
        return when (request) {
            is TrainerRequest.Submit -> submit(request, group, exchange.request)
            is TrainerRequest.Acknowledge -> change(
                LedgerCommand.AcknowledgeSamples(request.trainer, request.samples),
                request,
                group,
                exchange.request,
            ) { answer -> (answer as? LedgerAnswer.Acknowledged)?.let { json("acknowledged", it.samples.toLong()) } }

            is TrainerRequest.Announce -> announce(request, terms, group, exchange.request)

            is TrainerRequest.Fetch, is TrainerRequest.Refresh ->
                leases.executeAtHolder(request, exchange.method, exchange.target, body, exchange.request)
        }
    }

    /** Publishes the version before announcing it: announced before its rollout, it would make fresh samples stale. */
    private suspend fun announce(
        request: TrainerRequest.Announce,
        terms: TrainerTerms,
        group: String,
        identifier: RequestIdentifier,
    ): TrainerResponse {
        versions.publish(terms.contract.model, request.version).onLeft { return failure(it, identifier) }
        return change(LedgerCommand.AnnounceVersion(request.trainer, request.version), request, group, identifier) {
            (it as? LedgerAnswer.Announced)?.let { answer -> json("version", answer.version.number) }
        }
    }

    private suspend fun submit(
        request: TrainerRequest.Submit,
        group: String,
        identifier: RequestIdentifier,
    ): TrainerResponse = change(LedgerCommand.SubmitStep(request.step), request, group, identifier) { answer ->
        when ((answer as? LedgerAnswer.Submitted)?.result) {
            SubmitResult.ACCEPTED -> json("samples", request.step.sampleCount.toLong(), status = 201)
            SubmitResult.REPEATED -> json("samples", request.step.sampleCount.toLong())
            SubmitResult.CONFLICT -> conflict("another step has this number", identifier)
            SubmitResult.TOO_OLD -> conflict("the step's number is too old", identifier)
            SubmitResult.TOO_MANY_OPEN_STEPS ->
                TrainerResponse.refusal(RefusalReason.CONCURRENCY_LIMIT, "too many open steps", identifier)

            null -> null
        }
    }

    private suspend fun change(
        command: LedgerCommand,
        request: TrainerRequest,
        group: String,
        identifier: RequestIdentifier,
        read: (LedgerAnswer) -> TrainerResponse?,
    ): TrainerResponse {
        val answer = ledger.command(group, command).getOrElse { return failure(it, identifier) }
        leases.refreshSoon(request.trainer)
        return read(answer) ?: failure(ControlFailure("unexpected answer", mayHaveEffect = true), identifier)
    }

    private fun conflict(detail: String, identifier: RequestIdentifier) =
        TrainerResponse.refusal(RefusalReason.KEY_CONFLICT, detail, identifier)

    private fun json(name: String, value: Long, status: Int = 200) =
        TrainerResponse.json(status, buildJsonObject { put(name, value) }.toString())

    companion object {
        const val PATH_PREFIX = "/v1/trainers/"
        private val RETRY_AFTER = 1.seconds

        /** Maps [failure] to a response that states whether the control replicas may have applied the change. */
        fun failure(failure: ControlFailure, identifier: RequestIdentifier): TrainerResponse = TrainerResponse.problem(
            Problem(
                if (failure.mayHaveEffect) {
                    Verdict.MayHaveRun(FailureReason.OUTCOME_UNKNOWN, failure.reason)
                } else {
                    Verdict.NotRun(RefusalReason.CONTROL_UNAVAILABLE, failure.reason)
                },
                identifier,
                RETRY_AFTER,
            ),
        )
    }
}
