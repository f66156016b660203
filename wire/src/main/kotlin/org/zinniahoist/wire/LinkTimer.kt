package org.zinniahoist.wire

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration

/**
 * Runs all registered checks sequentially, once per [interval]. Stops while no check is registered.
 *
 * All links of a process with the same interval share a timer: with a timer for each link, an idle process with
 * 80 links had 400 wake-ups per second.
 */
internal class LinkTimer(
    private val interval: Duration,
    dispatcher: CoroutineDispatcher = Dispatchers.Default,
) {
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)

    @Volatile
    private var checks: Set<LinkCheck> = emptySet()
    private var timerJob: Job? = null

    /** Registers [check] and starts the timer if it is stopped. */
    @Synchronized
    fun add(check: LinkCheck) {
        checks = checks + check
        if (timerJob == null) timerJob = scope.launch { run() }
    }

    /** Removes [check] and stops the timer if no check is left. A round that is under way may still run it. */
    @Synchronized
    fun remove(check: LinkCheck) {
        checks = checks - check
        if (checks.isNotEmpty()) return
        timerJob?.cancel()
        timerJob = null
    }

    private suspend fun run() {
        while (true) {
            delay(interval)
            checks.forEach { it.run() }
        }
    }

    companion object {
        private val timers = ConcurrentHashMap<Duration, LinkTimer>()

        /** Returns the shared timer of this process for [interval]. */
        fun of(interval: Duration): LinkTimer = timers.computeIfAbsent(interval) { LinkTimer(it) }
    }
}

/** Periodic check of one link, run by a [LinkTimer]. Must neither block nor throw. */
internal fun interface LinkCheck {
    fun run()
}
