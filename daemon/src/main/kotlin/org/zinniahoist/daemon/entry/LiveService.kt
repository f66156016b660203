package org.zinniahoist.daemon.entry

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.zinniahoist.daemon.control.GroupName
import org.zinniahoist.model.Contract
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RefusalReason
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.Verdict
import org.zinniahoist.settings.EffectiveSettings
import org.zinniahoist.wire.IdempotencyTerms
import org.zinniahoist.wire.RequestOrigin
import org.zinniahoist.wire.UpstreamCall
import java.util.HexFormat
import java.util.UUID
import kotlin.time.Duration.Companion.milliseconds

/** Handles requests of live callers: authenticates, validates and runs them. */
internal class LiveService(
    private val links: SidecarLinks,
    private val runner: RequestRunner,
    private val policies: EntryPolicies,
    private val clock: () -> Moment,
) {
    suspend fun handle(exchange: Exchange, settings: EffectiveSettings) {
        val terms = BearerTokens.caller(settings, exchange.header("authorization"))
            ?: return exchange.refuse(RefusalReason.UNAUTHORIZED)
        val contract = terms.contract
        val limiter = policies.limiter
        val admitted = synchronized(limiter) { limiter.tryAcquire(contract.caller, contract.maximumConcurrency) }
        if (!admitted) {
            val detail = "more than ${contract.maximumConcurrency} requests in flight"
            return exchange.refuse(RefusalReason.CONCURRENCY_LIMIT, detail, settings.admission.retryAfter)
        }
        try {
            dispatch(exchange, settings, contract)
        } finally {
            synchronized(limiter) { limiter.release(contract.caller) }
        }
    }

    private suspend fun dispatch(exchange: Exchange, settings: EffectiveSettings, contract: Contract) {
        val path = exchange.path
        if (path == "/v1/models") {
            if (exchange.method != "GET") return exchange.refuse(RefusalReason.UNKNOWN_ROUTE, "use GET")
            return exchange.respond(200, JSON_MEDIA_TYPE, models(settings).toByteArray())
        }
        val body = exchange.body()
        if (body.size > settings.limits.bodySize) {
            return exchange.refuse(RefusalReason.BODY_TOO_LARGE, "more than ${settings.limits.bodySize} bytes")
        }
        val prepared = if (path.startsWith(SERVICES_PREFIX)) {
            service(exchange, settings, contract, body)
        } else {
            completion(exchange, settings, contract, body)
        }
        prepared.fold({ exchange.respond(Problem(it, exchange.request)) }, { run(exchange, it) })
    }

    private suspend fun run(exchange: Exchange, prepared: Prepared) {
        if (prepared.streams) {
            val plan = prepared.plan
            val answer = StreamedResponse(exchange, plan.idempotent && plan.completion != null)
            answer.finish(runner.run(plan, answer))
        } else {
            val answer = BufferedResponse()
            val end = runner.run(prepared.plan, answer)
            if (end.verdict is Verdict.Completed) {
                exchange.respond(end.status, end.contentType, answer.bytes)
            } else {
                exchange.respond(Problem(end.verdict, exchange.request, end.retryAfter))
            }
        }
    }

    private fun completion(
        exchange: Exchange,
        settings: EffectiveSettings,
        contract: Contract,
        bytes: ByteArray,
    ): Either<Verdict.NotRun, Prepared> {
        if (exchange.method != "POST") return refusal(RefusalReason.UNKNOWN_ROUTE, "use POST")
        val promptKey = if (exchange.path == CHAT_COMPLETIONS_PATH) "messages" else "prompt"
        val body = CompletionBody.read(bytes, promptKey).getOrElse { return malformed(it) }
        val name = body.model
        if (name !in settings.models && name !in links.models) return refusal(RefusalReason.UNKNOWN_ROUTE, "model")
        val call = UpstreamCall("POST", exchange.path, JSON_MEDIA_TYPE, bytes)
        val prefix = RequestPlan.prefixHash(body.prompt, settings.routing.prefixLength)
        return plan(exchange, settings, contract, RouteTarget.Model(name), call) { common ->
            Prepared(common.copyWith(body.content.takeIf { body.streams }, prefix), body.streams)
        }
    }

    private fun service(
        exchange: Exchange,
        settings: EffectiveSettings,
        contract: Contract,
        bytes: ByteArray,
    ): Either<Verdict.NotRun, Prepared> {
        val rest = exchange.target.removePrefix(SERVICES_PREFIX)
        val name = rest.substringBefore('/').substringBefore('?')
        if (name.isEmpty()) return refusal(RefusalReason.UNKNOWN_ROUTE, "service")
        val type = exchange.header("content-type") ?: "application/octet-stream"
        val path = rest.removePrefix(name).let { if (it.startsWith('/')) it else "/$it" }
        val call = UpstreamCall(exchange.method, path, type, bytes)
        val target = RouteTarget.Service(ServiceName(name))
        return plan(exchange, settings, contract, target, call) { Prepared(it, streams = false) }
    }

    private fun plan(
        exchange: Exchange,
        settings: EffectiveSettings,
        contract: Contract,
        target: RouteTarget,
        call: UpstreamCall,
        finish: (RequestPlan) -> Prepared,
    ): Either<Verdict.NotRun, Prepared> {
        val budget = when (val text = exchange.header("x-request-timeout-ms")) {
            null -> contract.defaultBudget
            else -> text.toLongOrNull()?.takeIf { it > 0 }?.milliseconds
                ?: return malformed("X-Request-Timeout-Ms is no positive number")
        }
        val key = exchange.header("idempotency-key")
        if (key != null && !KEY_REGEX.matches(key)) return malformed("Idempotency-Key has 1 to 255 visible characters")
        val nonIdempotent = target is RouteTarget.Service && target.name in contract.nonIdempotentServices
        val terms = (key ?: UUID.randomUUID().toString().takeIf { nonIdempotent })?.let {
            val digest = HexFormat.of().formatHex(RequestPlan.digest(call))
            IdempotencyTerms(contract.caller, it, digest, GroupName.ledger(contract.homeRegion))
        }
        return finish(
            RequestPlan(
                request = exchange.request,
                target = target,
                call = call,
                origin = RequestOrigin.Live(contract.caller),
                deadline = clock() + minOf(budget, settings.limits.maximumBudget),
                idempotent = terms == null,
                idempotency = terms,
                traceParent = exchange.header("traceparent")?.takeIf(TRACE_PARENT::matches),
            ),
        ).right()
    }

    private fun models(settings: EffectiveSettings): String = buildJsonObject {
        put("object", "list")
        putJsonArray("data") {
            (settings.models.keys + links.models).map { it.value }.sorted().forEach { name ->
                addJsonObject {
                    put("id", name)
                    put("object", "model")
                }
            }
        }
    }.toString()

    private fun malformed(detail: String) = refusal(RefusalReason.MALFORMED, detail)

    private fun refusal(reason: RefusalReason, detail: String) = Verdict.NotRun(reason, detail).left()

    private class Prepared(
        val plan: RequestPlan,
        val streams: Boolean,
    )

    companion object {
        const val SERVICES_PREFIX = "/services/"
        const val COMPLETIONS_PATH = "/v1/completions"
        const val CHAT_COMPLETIONS_PATH = "/v1/chat/completions"
        const val JSON_MEDIA_TYPE = "application/json"
        private val KEY_REGEX = Regex("[\\x21-\\x7e]{1,255}")
        private val TRACE_PARENT = Regex("[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}")
    }
}
