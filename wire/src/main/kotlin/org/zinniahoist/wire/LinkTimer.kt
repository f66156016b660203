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
 * Runs all its checks each [interval], one after the other, while there are any.
 *
 * All links of a process with the same interval share a timer: a wake-up of its own for each link cost an idle process
 * with 80 links 400 wake-ups a second.
 */
internal class LinkTimer(
    private val interval: Duration,
    dispatcher: CoroutineDispatcher = Dispatchers.Default,
) {
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)

    @Volatile
    private var checks: Set<LinkCheck> = emptySet()
    private var running: Job? = null

    @Synchronized
    fun add(check: LinkCheck) {
        checks = checks + check
        if (running == null) running = scope.launch { run() }
    }

    @Synchronized
    fun remove(check: LinkCheck) {
        checks = checks - check
        if (checks.isNotEmpty()) return
        running?.cancel()
        running = null
    }

    private suspend fun run() {
        while (true) {
            delay(interval)
            checks.forEach { it.run() }
        }
    }

    companion object {
        private val timers = ConcurrentHashMap<Duration, LinkTimer>()

        /** The timer of this process for [interval]. */
        fun of(interval: Duration): LinkTimer = timers.computeIfAbsent(interval) { LinkTimer(it) }
    }
}

/** What is done for a link at each round of a [LinkTimer]. Must neither block nor throw. */
internal fun interface LinkCheck {
    fun run()
}
