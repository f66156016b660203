package org.zinniahoist.gateway.entry

import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.ResponseHeaders
import io.github.oshai.kotlinlogging.KotlinLogging
import org.zinniahoist.gateway.dialect.HeaderNames
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.model.RequestTarget
import org.zinniahoist.policy.routes.RefusalCause
import org.zinniahoist.policy.routes.RetryAfterPolicy
import java.util.Locale
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Builds and logs the responses to requests that this process refuses before they have run. */
internal class Refusals(
    private val names: HeaderNames,
    private val metrics: GatewayMetrics,
    private val random: Random,
) {
    /** Returns a 503 with a retry-after header for a request that has not run and will not run. */
    fun refuse(request: HttpRequest, cause: RefusalCause, reason: String): HttpResponse =
        refuse(request, cause, reason, RetryAfterPolicy.after(cause, remainingOf(request), random))

    /** Returns a 503 for a request that was not admitted, and for which a place is expected after [wait]. */
    fun refuseForCapacity(request: HttpRequest, wait: Duration): HttpResponse {
        val after = RetryAfterPolicy.afterWait(wait, remainingOf(request), random)
        return refuse(request, RefusalCause.NO_CAPACITY, "expected wait $wait", after)
    }

    private fun remainingOf(request: HttpRequest): Duration =
        Forwarder.timeBudget(request.headers().get(names.remainingMilliseconds), DEFAULT_TIME_BUDGET)

    private fun refuse(
        request: HttpRequest,
        cause: RefusalCause,
        reason: String,
        after: Duration,
    ): HttpResponse {
        val identifier = request.headers().get(names.requestIdentifier)
        metrics.onEvent("refusal", cause.name.lowercase())
        logger.info { "event=refused request=$identifier cause=$cause reason=\"$reason\" retry-after=$after" }
        val seconds = after.inWholeMilliseconds / MILLISECONDS_PER_SECOND
        val headers = ResponseHeaders.builder(HttpStatus.SERVICE_UNAVAILABLE)
            .set("retry-after", "%.2f".format(Locale.ROOT, seconds))
            .build()
        return HttpResponse.of(headers)
    }

    /** Returns a 503 because this process is shutting down. */
    fun refuseForShutdown(request: HttpRequest): HttpResponse =
        refuse(request, RefusalCause.STOPPING, "the process is shutting down")

    /** Returns a 401 for a request of [caller], which has no valid key. */
    fun unauthorized(request: HttpRequest, caller: Caller): HttpResponse {
        val cause = if (caller is Caller.Unknown) "unknown" else "missing"
        metrics.onEvent("unauthorized", cause)
        logger.info {
            "event=unauthorized request=${request.headers().get(names.requestIdentifier)} " +
                "path=${RequestTarget.pathOf(request.path())} key=$cause"
        }
        return HttpResponse.of(ResponseHeaders.of(HttpStatus.UNAUTHORIZED, HttpHeaderNames.WWW_AUTHENTICATE, "Bearer"))
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val MILLISECONDS_PER_SECOND = 1_000.0

        /** Time budget of a client that does not send its remaining time. */
        val DEFAULT_TIME_BUDGET = 2.seconds
    }
}
