package org.zinniahoist.gateway.core

import io.github.oshai.kotlinlogging.KotlinLogging
import org.zinniahoist.model.Moment
import org.zinniahoist.policy.dispatch.ItemDispatcher
import org.zinniahoist.policy.dispatch.ReadingMonitor

/**
 * Lets [dispatcher] judge the silence of runs only by what was read. All functions run on the engine's thread.
 *
 * The end of a reading is posted behind all events that the connections handed over before it.
 */
internal class AnswerReadings(
    private val dispatcher: ItemDispatcher,
    private val runs: RunConnections,
    private val post: (() -> Unit) -> Unit,
) {
    private val monitor = ReadingMonitor()

    /** Begins a reading if it is due, and returns the moment until which all that arrived was handled. */
    fun tick(now: Moment): Moment {
        if (dispatcher.runningItems == 0) monitor.onIdle(now)
        if (monitor.begin(now)) runs.whenRead { post { end(now) } }
        return monitor.readUntil ?: now
    }

    private fun end(begin: Moment) {
        val delay = monitor.end(begin)
        if (!delay.isPositive()) return
        logger.warn { "event=answers-read-late delay=$delay runs=${dispatcher.runningItems}" }
        dispatcher.onDelay(delay, begin)
    }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
