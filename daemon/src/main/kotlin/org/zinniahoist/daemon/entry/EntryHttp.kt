package org.zinniahoist.daemon.entry

import com.linecorp.armeria.common.ContentTooLargeException
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.zinniahoist.daemon.configuration.ActiveSettings
import org.zinniahoist.model.FailureReason
import org.zinniahoist.model.RefusalReason
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.Verdict
import java.util.UUID
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

/** Dispatches the HTTP requests of an entry to the services for callers and trainers, with admission checks. */
internal class EntryHttp(
    private val scope: CoroutineScope,
    private val inForce: ActiveSettings,
    private val concurrency: Int,
    private val live: LiveService,
    private val trainers: TrainerService,
) : HttpService {
    private val inFlight = AtomicInteger()

    @Volatile
    var draining: Boolean = false

    /** Number of requests whose response is not complete. */
    val requestsInFlight: Int get() = inFlight.get()

    override fun serve(context: ServiceRequestContext, request: HttpRequest): HttpResponse {
        val response = HttpResponse.streaming()
        val exchange = Exchange(context, request, response, RequestIdentifier(UUID.randomUUID().toString()))
        val count = inFlight.incrementAndGet()
        val job = scope.launch { answer(exchange, count) }
        response.whenComplete().handle { _, cause -> if (cause != null) job.cancel() }
        job.invokeOnCompletion {
            inFlight.decrementAndGet()
            if (response.isOpen) response.close()
        }
        return response
    }

    private suspend fun answer(exchange: Exchange, count: Int) = try {
        dispatch(exchange, count)
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (_: ContentTooLargeException) {
        exchange.refuse(RefusalReason.BODY_TOO_LARGE)
    } catch (fault: Exception) {
        logger.error(fault) { "event=request-failed request=${exchange.request}" }
        exchange.respond(Problem(Verdict.MayHaveRun(FailureReason.OUTCOME_UNKNOWN, "internal error"), exchange.request))
    }

    private suspend fun dispatch(exchange: Exchange, count: Int) {
        val path = exchange.path
        val forTrainer = path.startsWith(TrainerService.PATH_PREFIX)
        val known = forTrainer || path in LIVE_PATHS || path.startsWith(LiveService.SERVICES_PREFIX)
        if (!known) return exchange.refuse(RefusalReason.UNKNOWN_ROUTE)
        // A draining lease holder still delivers the samples that it has generated, but accepts no new steps.
        val allowedWhileDraining = forTrainer && !path.contains("/steps/")
        if (draining && !allowedWhileDraining) return exchange.refuse(RefusalReason.DRAINING, retryAfter = 1.seconds)
        val settings = inForce.settings
            ?: return exchange.refuse(RefusalReason.CONTROL_UNAVAILABLE, "no settings in force", 1.seconds)
        if (count > concurrency) {
            return exchange.refuse(RefusalReason.OVERLOADED, retryAfter = settings.admission.retryAfter)
        }
        if (forTrainer) trainers.handle(exchange, settings) else live.handle(exchange, settings)
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        val LIVE_PATHS = setOf(LiveService.COMPLETIONS_PATH, LiveService.CHAT_COMPLETIONS_PATH, "/v1/models")
    }
}
