package org.zinniahoist.gateway.upstream

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.Moment
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.policy.poison.CrashEvidence
import org.zinniahoist.policy.poison.CrashTable
import org.zinniahoist.policy.poison.Fingerprint
import org.zinniahoist.policy.poison.ObservedCrash
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Tells crashes of upstreams from lost connections, and refuses requests that were in flight at too many crashes.
 *
 * An upstream has crashed if it closed a connection without a response and then refuses connections. One that is
 * leaving may end in this way as well, which says nothing about its requests. Thread-safe.
 *
 * @param isLeaving returns whether an upstream is known to leave.
 * @param share sends new evidence to the other processes.
 */
internal class CrashMonitor(
    private val probe: ListenerProbe,
    private val isLeaving: (UpstreamIdentity) -> Boolean,
    private val scope: CoroutineScope,
    private val clock: () -> Moment,
    private val metrics: GatewayMetrics,
    private val share: (CrashEvidence) -> Unit,
) : CrashGuard {
    private val table = CrashTable()

    /** Requests whose connection was closed, by the upstream that is being checked for a crash. */
    private val pending = HashMap<UpstreamIdentity, MutableSet<Fingerprint>>()

    /** True while any request is suspected; spares hashing large requests otherwise. */
    @Volatile
    private var hasSuspects = false

    /** Number of requests that are refused because of crashes. */
    val blockedRequests: Int @Synchronized get() = table.blocked(clock())

    /** All evidence that this process has. */
    val evidence: CrashEvidence @Synchronized get() = table.evidence(clock())

    /** Crashes that count against a request, by request. */
    val suspects: Map<Fingerprint, List<ObservedCrash>> @Synchronized get() = table.suspects(clock())

    /** Returns true if a completed run has cleared the request [fingerprint] of all its crashes. */
    @Synchronized
    fun isCleared(fingerprint: Fingerprint): Boolean = table.isCleared(fingerprint, clock())

    override fun refusalReason(request: RequestContent): String? =
        if (hasSuspects) reasonFor(request.fingerprint) else null

    @Synchronized
    private fun reasonFor(fingerprint: Fingerprint): String? {
        if (!table.isBlocked(fingerprint, clock())) return null
        metrics.onEvent("request_blocked", "crashes")
        return "${table.crashes(fingerprint, clock()).size} upstreams crashed at runs of request $fingerprint"
    }

    @Synchronized
    override fun onUnanswered(request: RequestContent, upstream: ListedUpstream) {
        if (isLeaving(upstream.identity)) return
        val waiting = pending[upstream.identity]
        if (waiting != null) {
            waiting += request.fingerprint
            return
        }
        pending[upstream.identity] = hashSetOf(request.fingerprint)
        val closedAt = clock()
        scope.launch { check(upstream, closedAt) }
    }

    private suspend fun check(upstream: ListedUpstream, closedAt: Moment) {
        delay(CHECK_DELAY)
        val isRefused = probe.isRefused(upstream.endpoint)
        val isLate = clock() - closedAt > MAXIMUM_CHECK_TIME
        val news = conclude(upstream.identity, closedAt, hasCrashed = isRefused && !isLate)
        if (!news.isEmpty) share(news)
    }

    @Synchronized
    private fun conclude(upstream: UpstreamIdentity, closedAt: Moment, hasCrashed: Boolean): CrashEvidence {
        val suspects = pending.remove(upstream).orEmpty().take(MAXIMUM_SUSPECTS)
        metrics.onEvent("upstream_crash", if (hasCrashed) "observed" else "ruled_out")
        if (!hasCrashed) return CrashEvidence()
        logger.warn { "event=upstream-crashed upstream=$upstream requests=${suspects.joinToString(",")}" }
        return add(CrashEvidence(suspects.map { ObservedCrash(it, upstream, closedAt) }))
    }

    override fun onAnswered(request: RequestContent) {
        if (!hasSuspects && request.bodyBytes > MAXIMUM_HASHED_BYTES) return
        val news = complete(request.fingerprint)
        if (!news.isEmpty) share(news)
    }

    @Synchronized
    private fun complete(fingerprint: Fingerprint): CrashEvidence = table.onCompleted(fingerprint, clock())

    /** Adds [received] evidence of other processes, and shares what refutes it. Returns what was new in it. */
    fun onEvidence(received: CrashEvidence): CrashEvidence {
        val news = synchronized(this) { add(received) }
        val (confirmed, refuting) = news.completions.partition { it in received.completions }
        if (refuting.isNotEmpty()) share(CrashEvidence(completions = refuting))
        return news.copy(completions = confirmed)
    }

    /** Adds [evidence] and logs the requests that it blocks. The caller holds the lock. */
    private fun add(evidence: CrashEvidence): CrashEvidence {
        val now = clock()
        val blockedBefore = evidence.crashes.filter { table.isBlocked(it.fingerprint, now) }.map { it.fingerprint }
        val news = table.add(evidence, now)
        hasSuspects = table.size > 0
        val blocked = news.crashes.map { it.fingerprint }.filter { table.isBlocked(it, now) }.distinct()
        (blocked - blockedBefore.toSet()).forEach { logBlocked(it, now) }
        return news
    }

    private fun logBlocked(fingerprint: Fingerprint, now: Moment) {
        val upstreams = table.crashes(fingerprint, now).joinToString(",")
        logger.warn { "event=request-blocked fingerprint=$fingerprint crashed-upstreams=$upstreams" }
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        /** A process that ends closes its connections and its listening socket within a few milliseconds. */
        val CHECK_DELAY = 50.milliseconds

        /** A check that took longer was held up together with this process; the upstream may have ended since. */
        val MAXIMUM_CHECK_TIME = 1.seconds

        /** Larger bodies are hashed only while there are suspects; hashing them for each request is expensive. */
        const val MAXIMUM_HASHED_BYTES = 64 shl 10

        /** Requests in flight at one crash that are reported. */
        const val MAXIMUM_SUSPECTS = 256
    }
}
