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

/** Answer to a trainer, which can travel between entries. */
internal class TrainerAnswer(
    val status: Int,
    val contentType: String,
    val body: ByteArray,
) {
    companion object {
        fun json(status: Int, body: String) = TrainerAnswer(status, LiveService.JSON_TYPE, body.toByteArray())

        fun problem(problem: Problem) =
            TrainerAnswer(problem.status, Problem.MEDIA_TYPE, problem.toJson().toByteArray())

        fun refusal(reason: RefusalReason, detail: String, request: RequestIdentifier) =
            problem(Problem(Verdict.NotRun(reason, detail), request))
    }
}

/** Requests of trainers. */
internal class TrainerService(
    private val ledger: LedgerClient,
    private val holdings: TrainerHoldings,
    private val versions: VersionPublisher,
) {
    suspend fun handle(exchange: Exchange, settings: EffectiveSettings) {
        val terms = Tokens.trainer(settings, exchange.header("authorization"))
            ?: return exchange.refuse(RefusalReason.UNAUTHORIZED)
        val body = exchange.body()
        val request = TrainerRequests.read(exchange.method, exchange.target, body).getOrElse {
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
    ): TrainerAnswer {
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
                holdings.atHolder(request, exchange.method, exchange.target, body, exchange.request)
        }
    }

    /** The version is published first: announced before its rollout, it would make fresh samples look stale. */
    private suspend fun announce(
        request: TrainerRequest.Announce,
        terms: TrainerTerms,
        group: String,
        identifier: RequestIdentifier,
    ): TrainerAnswer {
        versions.publish(terms.contract.model, request.version).onLeft { return failure(it, identifier) }
        return change(LedgerCommand.AnnounceVersion(request.trainer, request.version), request, group, identifier) {
            (it as? LedgerAnswer.Announced)?.let { answer -> json("version", answer.version.number) }
        }
    }

    private suspend fun submit(
        request: TrainerRequest.Submit,
        group: String,
        identifier: RequestIdentifier,
    ): TrainerAnswer = change(LedgerCommand.SubmitStep(request.step), request, group, identifier) { answer ->
        when ((answer as? LedgerAnswer.Submitted)?.result) {
            SubmitResult.ACCEPTED -> json("samples", request.step.sampleCount.toLong(), status = 201)
            SubmitResult.REPEATED -> json("samples", request.step.sampleCount.toLong())
            SubmitResult.CONFLICT -> conflict("another step has this number", identifier)
            SubmitResult.TOO_OLD -> conflict("the step's number is too old", identifier)
            SubmitResult.TOO_MANY_OPEN_STEPS ->
                TrainerAnswer.refusal(RefusalReason.CONCURRENCY_LIMIT, "too many open steps", identifier)

            null -> null
        }
    }

    private suspend fun change(
        command: LedgerCommand,
        request: TrainerRequest,
        group: String,
        identifier: RequestIdentifier,
        read: (LedgerAnswer) -> TrainerAnswer?,
    ): TrainerAnswer {
        val answer = ledger.command(group, command).getOrElse { return failure(it, identifier) }
        holdings.refreshSoon(request.trainer)
        return read(answer) ?: failure(ControlFailure("unexpected answer", mayHaveEffect = true), identifier)
    }

    private fun conflict(detail: String, identifier: RequestIdentifier) =
        TrainerAnswer.refusal(RefusalReason.KEY_CONFLICT, detail, identifier)

    private fun json(name: String, value: Long, status: Int = 200) =
        TrainerAnswer.json(status, buildJsonObject { put(name, value) }.toString())

    companion object {
        const val PREFIX = "/v1/trainers/"
        private val RETRY_AFTER = 1.seconds

        /** States whether the control replicas may have taken a trainer's change. */
        fun failure(failure: ControlFailure, identifier: RequestIdentifier): TrainerAnswer = TrainerAnswer.problem(
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
