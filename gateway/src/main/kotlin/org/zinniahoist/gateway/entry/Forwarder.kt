package org.zinniahoist.gateway.entry

import com.linecorp.armeria.common.RequestHeaders
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.zinniahoist.gateway.dialect.HeaderNames
import org.zinniahoist.gateway.upstream.CrashGuard
import org.zinniahoist.gateway.upstream.ForwardedFields
import org.zinniahoist.gateway.upstream.PermissiveCrashGuard
import org.zinniahoist.gateway.upstream.ResponseLimits
import org.zinniahoist.gateway.upstream.RunStatement
import org.zinniahoist.gateway.upstream.UpstreamCalls
import org.zinniahoist.gateway.upstream.WholeAnswer
import org.zinniahoist.gateway.upstream.onFailure
import org.zinniahoist.gateway.upstream.readWhole
import org.zinniahoist.gateway.upstream.runStatement
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.Moment
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.policy.live.AttemptOutcome
import org.zinniahoist.policy.routes.RouteKind
import org.zinniahoist.policy.routes.drawService
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Outcome of forwarding a request. */
internal sealed interface Forwarded {
    /** A response to return to the client. */
    class Answer(val answer: WholeAnswer) : Forwarded

    /** No upstream has run the request, and none will. */
    data class NotRun(val reason: String) : Forwarded

    /** Like [NotRun], because the service has no capacity; a place is expected after [expectedWait]. */
    data class NotAdmitted(val expectedWait: Duration) : Forwarded

    /** Like [NotRun], because upstreams crashed at earlier runs of the request. */
    data class Blocked(val reason: String) : Forwarded

    /** The outcome is unknown: an upstream may have run the request, but no response arrived. */
    data class NoAnswer(val reason: String) : Forwarded
}

/**
 * Forwards unary requests to upstreams and buffers the full responses. Retries requests that no upstream has run;
 * retries and hedges repeatable requests in other cases as well.
 */
internal class Forwarder(
    private val names: HeaderNames,
    private val calls: UpstreamCalls,
    private val upstreams: UpstreamChooser,
    private val clock: () -> Moment,
    private val random: Random = Random.Default,
    private val crashes: CrashGuard = PermissiveCrashGuard,
    private val gate: AdmissionGate = AdmissionGate.open(clock),
) {
    suspend fun forward(request: ForwardedRequest): Forwarded {
        crashes.refusalReason(request.content)?.let { return Forwarded.Blocked(it) }
        val service = request.route.drawService(random)
        return when (val entrance = gate.enter(request, service)) {
            is AdmissionGate.Entrance.Refused -> Forwarded.NotAdmitted(entrance.expectedWait)

            is AdmissionGate.Entrance.Admitted -> entrance.place.use { place ->
                withTimeoutOrNull(request.deadline - clock()) { Attempts(request, service, place).run() }
                    ?: Forwarded.NoAnswer("no response in time")
            }
        }
    }

    private sealed interface Outcome {
        class Success(val answer: WholeAnswer) : Outcome

        class Failed(val answer: WholeAnswer) : Outcome

        data object NotRun : Outcome

        class Lost(val cause: String) : Outcome
    }

    /** Runs all attempts at one request. */
    private inner class Attempts(
        private val request: ForwardedRequest,
        private val service: ServiceName,
        private val place: AdmissionGate.Place,
    ) {
        private val route = request.route
        private val isRepeatable = route.kind == RouteKind.REPEATABLE
        private val tried = HashSet<UpstreamIdentity>()
        private val outcomes = Channel<Outcome>(Channel.UNLIMITED)
        private val jobs = ArrayList<Job>()
        private var running = 0
        private var started = 0
        private var failed: Outcome.Failed? = null
        private var lost: Outcome.Lost? = null

        suspend fun run(): Forwarded = coroutineScope {
            val result = when {
                !request.tryDispatch(clock()) -> Forwarded.NotRun(SHUTTING_DOWN)
                startOnUntried() -> awaitResult()
                else -> Forwarded.NotRun("no upstream available for $service")
            }
            jobs.forEach { it.cancel() }
            result
        }

        /** Returns false if a shutdown, or crashes of upstreams that ran the request, forbid another attempt. */
        private fun mayStart(): Boolean = crashes.refusalReason(request.content) == null && request.tryDispatch(clock())

        /** Starts an attempt at an untried upstream. Returns false if there is none, or if it is forbidden. */
        private fun CoroutineScope.startOnUntried(): Boolean {
            if (!mayStart()) return false
            val upstream = upstreams.choose(service, tried) ?: return false
            startOn(upstream)
            return true
        }

        private fun CoroutineScope.startOn(upstream: ListedUpstream) {
            tried += upstream.identity
            running++
            started++
            val number = started
            jobs += launch { outcomes.send(attempt(upstream, number)) }
        }

        /** Retries on an untried upstream if there is one, otherwise on a tried one after [SAME_UPSTREAM_BACKOFF]. */
        private suspend fun CoroutineScope.retry() {
            if (started >= route.maximumAttempts || startOnUntried() || !mayRetryOnTried()) return
            delay(SAME_UPSTREAM_BACKOFF)
            if (startOnUntried() || !mayStart()) return
            upstreams.choose(service, emptySet())?.let { startOn(it) }
        }

        private suspend fun CoroutineScope.awaitResult(): Forwarded {
            while (running > 0) {
                val mayHedge = isRepeatable && running == 1 && started < route.maximumAttempts
                val outcome = if (mayHedge) {
                    withTimeoutOrNull(route.target * HEDGE_TARGET_FRACTION) { outcomes.receive() }
                } else {
                    outcomes.receive()
                }
                if (outcome == null) {
                    if (!startOnUntried()) return processOutcome(outcomes.receive()) ?: continue
                    logger.info { "event=hedged request=${request.identifier} attempts=$started" }
                    continue
                }
                processOutcome(outcome)?.let { return it }
            }
            return finalFailure()
        }

        /** Processes one [outcome]. Returns the final result, or null while other attempts may still succeed. */
        private suspend fun CoroutineScope.processOutcome(outcome: Outcome): Forwarded? {
            running--
            val mayRepeat = when (outcome) {
                is Outcome.Success -> return Forwarded.Answer(outcome.answer)

                is Outcome.NotRun -> true

                is Outcome.Failed -> isRepeatable.also { failed = outcome }

                is Outcome.Lost -> isRepeatable.also { lost = outcome }
            }
            if (mayRepeat) retry()
            return null
        }

        /** Allows a retry on a tried upstream after a refusal or a lost response, but not after an error response. */
        private fun mayRetryOnTried(): Boolean =
            running == 0 && failed == null && clock() + SAME_UPSTREAM_BACKOFF < request.deadline

        private fun finalFailure(): Forwarded {
            failed?.let { return Forwarded.Answer(it.answer) }
            lost?.let { return Forwarded.NoAnswer(it.cause) }
            return Forwarded.NotRun("refused in $started attempts by ${tried.size} upstreams")
        }

        private suspend fun attempt(upstream: ListedUpstream, number: Int): Outcome {
            val start = clock()
            var isSuccess = false
            var load = AttemptOutcome.OTHER
            place.onAttempt()
            try {
                val response = calls.open(
                    upstream.endpoint,
                    headersFor(upstream),
                    request.body,
                    ResponseLimits.SINGLE,
                    request.identifier,
                )
                val answer = readWhole(response, names.requestIdentifier, request.identifier, request.reservation)
                val outcome = classify(answer)
                load = loadOutcome(outcome, answer)
                isSuccess = outcome is Outcome.Success
                if (outcome is Outcome.Success || outcome is Outcome.Failed) {
                    crashes.onAnswered(request.content)
                    if (!answer.headers.contains(names.notRun)) request.usage.onAnswered(start)
                }
                return outcome
            } catch (cancelled: CancellationException) {
                // Another attempt was faster, or the client disconnected: not an upstream failure within the target.
                isSuccess = clock() - start < route.target
                throw cancelled
            } catch (failure: Exception) {
                val cause = UpstreamCalls.rootOf(failure).toString()
                logger.info {
                    "event=attempt-lost request=${request.identifier} attempt=$number upstream=${upstream.identity} " +
                        "cause=\"$cause\""
                }
                crashes.onFailure(request.content, upstream, failure)
                return if (UpstreamCalls.isUnsent(failure)) Outcome.NotRun else Outcome.Lost(cause)
            } finally {
                upstreams.onEnded(upstream.identity, clock() - start, isSuccess)
                place.onAttemptEnded(load, start)
            }
        }

        private fun loadOutcome(outcome: Outcome, answer: WholeAnswer): AttemptOutcome = when (outcome) {
            is Outcome.Success -> AttemptOutcome.ANSWERED
            is Outcome.NotRun -> AdmissionGate.outcomeOfRefusal(answer.status)
            is Outcome.Failed, is Outcome.Lost -> AttemptOutcome.OTHER
        }

        private fun classify(answer: WholeAnswer): Outcome = when (names.runStatement(answer.headers)) {
            RunStatement.NOT_RUN -> if (answer.status == BAD_REQUEST) Outcome.Success(answer) else Outcome.NotRun
            RunStatement.MISDIRECTED -> Outcome.NotRun
            RunStatement.FAILED -> Outcome.Failed(answer)
            RunStatement.REJECTED, RunStatement.SETTLED -> settle(answer)
        }

        private fun settle(answer: WholeAnswer): Outcome {
            val isStampMissing = answer.status < REDIRECTION && !answer.headers.contains(names.answerStamp)
            return if (isStampMissing) Outcome.Lost("stamp missing") else Outcome.Success(answer)
        }

        private fun headersFor(upstream: ListedUpstream): RequestHeaders {
            val remaining = (request.deadline - clock()).inWholeMilliseconds.coerceAtLeast(1)
            return ForwardedFields.request(request.headers)
                .set(names.expectedUpstream, upstream.identity.value)
                .set(names.remainingMilliseconds, remaining.toString())
                .build()
        }
    }

    companion object {
        private val logger = KotlinLogging.logger {}

        /** Fraction of the latency target after which a second, hedged attempt starts on another upstream. */
        private const val HEDGE_TARGET_FRACTION = 0.45

        /** Back-off before a request is retried on an upstream that refused it or lost its response. */
        val SAME_UPSTREAM_BACKOFF: Duration = 50.milliseconds

        /** Reason for refusing a request that may not finish before a process in shutdown stops serving. */
        const val SHUTTING_DOWN = "the process may stop before the request finishes"
        private const val BAD_REQUEST = 400
        private const val REDIRECTION = 300

        /** Returns the remaining time that a client states in [remainingMilliseconds], at most [limit]. */
        fun timeBudget(remainingMilliseconds: String?, limit: Duration): Duration {
            val statedMilliseconds = remainingMilliseconds?.trim()?.toDoubleOrNull() ?: return limit
            return minOf(limit, Duration.parse("${statedMilliseconds.coerceAtLeast(0.0) / MILLISECONDS_PER_SECOND}s"))
        }

        private const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
