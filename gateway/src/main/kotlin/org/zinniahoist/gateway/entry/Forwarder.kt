package org.zinniahoist.gateway.entry

import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.RequestHeadersBuilder
import com.linecorp.armeria.common.ResponseHeaders
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
import org.zinniahoist.gateway.upstream.AnswerLimits
import org.zinniahoist.gateway.upstream.AnswerMemory
import org.zinniahoist.gateway.upstream.UpstreamCalls
import org.zinniahoist.gateway.upstream.WholeAnswer
import org.zinniahoist.gateway.upstream.readWhole
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.Moment
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.policy.routes.Route
import org.zinniahoist.policy.routes.RouteKind
import org.zinniahoist.policy.routes.drawService
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A request of a client on its way to an upstream. */
internal class ForwardedRequest(
    val headers: RequestHeaders,
    val body: ByteArray,
    val identifier: String?,
    val route: Route,
    val deadline: Moment,
    /** Where the bytes of its answers are counted. */
    val share: AnswerMemory.Share,
    val passage: RequestPassage,
) {
    /** Notes at [present] that the request is passed on. Returns false if it must not be, as the process stops. */
    fun enter(present: Moment): Boolean = passage.enter(route, deadline, present)
}

/** How the forwarding of a request ended. */
internal sealed interface Forwarded {
    /** An answer to pass on. */
    class Answer(val answer: WholeAnswer) : Forwarded

    /** No upstream ran the request or will run it. */
    data class NotRun(val reason: String) : Forwarded

    /** An upstream may have run the request, and there is no answer. */
    data class NoAnswer(val reason: String) : Forwarded
}

/** Sends single requests to upstreams, reads whole answers and tries again what may be repeated. */
internal class Forwarder(
    private val names: HeaderNames,
    private val calls: UpstreamCalls,
    private val upstreams: UpstreamChooser,
    private val clock: () -> Moment,
    private val random: Random = Random.Default,
) {
    suspend fun forward(request: ForwardedRequest): Forwarded =
        withTimeoutOrNull(request.deadline - clock()) { Attempts(request).run() }
            ?: Forwarded.NoAnswer("no answer in time")

    private sealed interface Outcome {
        class Sound(val answer: WholeAnswer) : Outcome

        class Failed(val answer: WholeAnswer) : Outcome

        data object NotRun : Outcome

        class Lost(val cause: String) : Outcome
    }

    /** All attempts at one request. */
    private inner class Attempts(private val request: ForwardedRequest) {
        private val route = request.route
        private val isRepeatable = route.kind == RouteKind.REPEATABLE
        private val service = route.drawService(random)
        private val used = HashSet<UpstreamIdentity>()
        private val outcomes = Channel<Outcome>(Channel.UNLIMITED)
        private val jobs = ArrayList<Job>()
        private var running = 0
        private var started = 0
        private var failed: Outcome.Failed? = null
        private var lost: Outcome.Lost? = null

        suspend fun run(): Forwarded = coroutineScope {
            val result = when {
                !request.enter(clock()) -> Forwarded.NotRun(STOPPING)
                startNext() -> settle()
                else -> Forwarded.NotRun("no upstream of $service")
            }
            jobs.forEach { it.cancel() }
            result
        }

        /** Starts an attempt at an upstream that was not used yet. Returns false if there is none or no time for it. */
        private fun CoroutineScope.startNext(): Boolean {
            if (!request.enter(clock())) return false
            val upstream = upstreams.choose(service, used) ?: return false
            startAt(upstream)
            return true
        }

        private fun CoroutineScope.startAt(upstream: ListedUpstream) {
            used += upstream.identity
            running++
            started++
            val number = started
            jobs += launch { outcomes.send(attempt(upstream, number)) }
        }

        /** Prefers an upstream that was not used; one that was is asked again only after a pause. */
        private suspend fun CoroutineScope.retry() {
            if (started >= route.maximumAttempts || startNext() || !mayReuse()) return
            delay(REUSE_PAUSE)
            if (startNext() || !request.enter(clock())) return
            upstreams.choose(service, emptySet())?.let { startAt(it) }
        }

        private suspend fun CoroutineScope.settle(): Forwarded {
            while (running > 0) {
                val mayHedge = isRepeatable && running == 1 && started < route.maximumAttempts
                val outcome = if (mayHedge) {
                    withTimeoutOrNull(route.target * HEDGE_SHARE) { outcomes.receive() }
                } else {
                    outcomes.receive()
                }
                if (outcome == null) {
                    if (!startNext()) return finish(outcomes.receive()) ?: continue
                    logger.info { "event=hedged request=${request.identifier} attempts=$started" }
                    continue
                }
                finish(outcome)?.let { return it }
            }
            return unanswered()
        }

        /** Returns the result, or null if attempts go on. */
        private suspend fun CoroutineScope.finish(outcome: Outcome): Forwarded? {
            running--
            val mayRepeat = when (outcome) {
                is Outcome.Sound -> return Forwarded.Answer(outcome.answer)

                is Outcome.NotRun -> true

                is Outcome.Failed -> isRepeatable.also { failed = outcome }

                is Outcome.Lost -> isRepeatable.also { lost = outcome }
            }
            if (mayRepeat) retry()
            return null
        }

        /** An upstream that answered with a failure is not asked again; one that refused or lost the request is. */
        private fun mayReuse(): Boolean = running == 0 && failed == null && clock() + REUSE_PAUSE < request.deadline

        private fun unanswered(): Forwarded {
            failed?.let { return Forwarded.Answer(it.answer) }
            lost?.let { return Forwarded.NoAnswer(it.cause) }
            return Forwarded.NotRun("refused in $started attempts by ${used.size} upstreams")
        }

        private suspend fun attempt(upstream: ListedUpstream, number: Int): Outcome {
            val start = clock()
            var isSound = false
            try {
                val response = calls.open(
                    upstream.endpoint,
                    headersFor(upstream),
                    request.body,
                    AnswerLimits.SINGLE,
                    request.identifier,
                )
                val outcome = classify(readWhole(response, names.requestIdentifier, request.identifier, request.share))
                isSound = outcome is Outcome.Sound
                return outcome
            } catch (cancelled: CancellationException) {
                // Another attempt was faster, or the client has left: neither says anything bad of the upstream.
                isSound = clock() - start < route.target
                throw cancelled
            } catch (failure: Exception) {
                val cause = UpstreamCalls.rootOf(failure).toString()
                logger.info {
                    "event=attempt-lost request=${request.identifier} attempt=$number upstream=${upstream.identity} " +
                        "cause=\"$cause\""
                }
                return if (UpstreamCalls.isUnsent(failure)) Outcome.NotRun else Outcome.Lost(cause)
            } finally {
                upstreams.onEnded(upstream.identity, clock() - start, isSound)
            }
        }

        private fun classify(answer: WholeAnswer): Outcome = when {
            answer.headers.contains(names.notRun) && answer.status != BAD_REQUEST -> Outcome.NotRun
            answer.status == MISDIRECTED -> Outcome.NotRun
            answer.status >= SERVER_FAILURE -> Outcome.Failed(answer)
            answer.status < REDIRECTION && !answer.headers.contains(names.answerStamp) -> Outcome.Lost("no stamp")
            else -> Outcome.Sound(answer)
        }

        private fun headersFor(upstream: ListedUpstream): RequestHeaders {
            val remaining = (request.deadline - clock()).inWholeMilliseconds.coerceAtLeast(1)
            return forwardedHeaders(request.headers)
                .set(names.expectedUpstream, upstream.identity.value)
                .set(names.remainingMilliseconds, remaining.toString())
                .build()
        }
    }

    companion object {
        private val logger = KotlinLogging.logger {}

        /** An answer that takes longer than this share of the target is worth a second attempt elsewhere. */
        private const val HEDGE_SHARE = 0.45

        /** Time after which an upstream that refused or lost a request is asked again, if it is the only one left. */
        val REUSE_PAUSE: Duration = 50.milliseconds

        /** Why a request is not passed on that may outlast the service of a process that stops. */
        const val STOPPING = "the process may end before the request"
        private const val BAD_REQUEST = 400
        private const val MISDIRECTED = 421
        private const val SERVER_FAILURE = 500
        private const val REDIRECTION = 300
        private val HOP_HEADERS = setOf(
            "connection",
            "keep-alive",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "proxy-connection",
            "proxy-authorization",
            "proxy-authenticate",
            "content-length",
            "expect",
        )

        /** Returns [headers] without those that concern one connection only. */
        fun forwardedHeaders(headers: RequestHeaders): RequestHeadersBuilder {
            val builder = RequestHeaders.builder(headers.method(), headers.path())
            headers.authority()?.let(builder::authority)
            for ((name, value) in headers) {
                if (!name.startsWith(":") && name.toString() !in HOP_HEADERS) builder.add(name, value)
            }
            if (headers.method() != HttpMethod.GET) builder.remove(HttpHeaderNames.CONTENT_LENGTH)
            return builder
        }

        /** Returns the headers of an answer without those that concern one connection only. */
        fun passedHeaders(headers: ResponseHeaders): ResponseHeaders {
            val builder = ResponseHeaders.builder(headers.status())
            for ((name, value) in headers) {
                if (!name.startsWith(":") && name.toString() !in HOP_HEADERS) builder.add(name, value)
            }
            return builder.build()
        }

        /** Time until [request]'s client stops to wait, at most [limit]. */
        fun budget(remainingMilliseconds: String?, limit: Duration): Duration {
            val stated = remainingMilliseconds?.trim()?.toDoubleOrNull() ?: return limit
            return minOf(limit, Duration.parse("${stated.coerceAtLeast(0.0) / MILLISECONDS}s"))
        }

        private const val MILLISECONDS = 1_000.0
    }
}
