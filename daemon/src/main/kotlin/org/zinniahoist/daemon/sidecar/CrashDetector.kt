package org.zinniahoist.daemon.sidecar

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.zinniahoist.daemon.timeline.EventRecorder
import org.zinniahoist.daemon.timeline.record
import org.zinniahoist.model.Moment
import org.zinniahoist.policy.poison.PoisonDecision

/** Tells a crash of the upstream from the loss of one connection, and reports the requests in flight at a crash. */
internal class CrashDetector(
    private val reports: CrashReports,
    private val state: UpstreamState,
    private val isAlive: suspend () -> Boolean,
    private val onCrash: (isAlive: Boolean) -> Unit,
    private val events: EventRecorder,
    private val scope: CoroutineScope,
    private val clock: () -> Moment,
) {
    private val lock = Any()
    private val evaluating = Mutex()
    private val running = HashSet<ActiveAttempt>()
    private val broken = HashSet<ActiveAttempt>()
    private var evaluation: Deferred<Unit>? = null

    /** Attempts that the upstream has. */
    val attempts: Set<ActiveAttempt> get() = synchronized(lock) { running.toSet() }

    /** Returns whether the request may be given to the upstream, and counts it as given if so. */
    suspend fun tryStart(attempt: ActiveAttempt): PoisonDecision {
        val decision = reports.tryStart(attempt.fingerprint, clock())
        if (decision == PoisonDecision.ALLOW || decision == PoisonDecision.ALLOW_SUSPECT) {
            synchronized(lock) { running += attempt }
        }
        return decision
    }

    /** Records that an attempt ended without a sign of a crash. */
    suspend fun onEnd(attempt: ActiveAttempt, finished: Boolean) {
        val isRecorded = synchronized(lock) {
            running -= attempt
            attempt.isCrashRecorded
        }
        if (!isRecorded) reports.onEnd(attempt.fingerprint, finished, clock())
    }

    /** Records that the connection of an attempt broke, and returns once a crash is recorded or ruled out. */
    suspend fun onBroken(attempt: ActiveAttempt) {
        val pending = synchronized(lock) {
            running -= attempt
            if (attempt.isCrashRecorded) return
            broken += attempt
            evaluation ?: scope.async { evaluate() }.also { evaluation = it }
        }
        pending.await()
    }

    /**
     * An upstream that answers and still serves connections from before did not crash. If it answers and serves none of
     * them, it was started again.
     */
    private suspend fun evaluate() = evaluating.withLock {
        state.isSuspended = true
        try {
            val alive = isAlive()
            state.isReachable = alive
            judge(alive)
        } finally {
            state.isSuspended = false
        }
    }

    private suspend fun judge(alive: Boolean) {
        val (failedAttempts, remainingAttempts) = synchronized(lock) {
            evaluation = null
            val failedAttempts = broken.toSet()
            val remainingAttempts = running.toSet()
            broken.clear()
            if (!alive) remainingAttempts.forEach { it.isCrashRecorded = true }
            failedAttempts to remainingAttempts
        }
        val now = clock()
        if (alive && remainingAttempts.isNotEmpty()) {
            failedAttempts.forEach { reports.onEnd(it.fingerprint, finished = false, now) }
        } else {
            val involved = if (alive) failedAttempts else failedAttempts + remainingAttempts
            events.record("upstream-crashed", "attempts" to involved.map { it.start.attempt }, "restarted" to alive)
            reports.onCrash(involved.mapTo(HashSet()) { it.fingerprint }, now)
            remainingAttempts.forEach { it.exchange?.abort(UpstreamCrashedException()) }
            onCrash(alive)
        }
    }
}

/** The upstream crashed while the call was in progress. */
internal class UpstreamCrashedException : RuntimeException("the upstream crashed")
