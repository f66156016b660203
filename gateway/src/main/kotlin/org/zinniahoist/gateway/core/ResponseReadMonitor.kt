package org.zinniahoist.gateway.core

import io.github.oshai.kotlinlogging.KotlinLogging
import org.zinniahoist.model.Moment
import org.zinniahoist.policy.dispatch.InputProgressMonitor
import org.zinniahoist.policy.dispatch.ItemDispatcher

/**
 * Measures how late upstream responses are read, so that [dispatcher] does not count read delay as upstream silence.
 * All functions run on the engine thread.
 *
 * The end of a measurement is posted after all events that the connections delivered before it.
 */
internal class ResponseReadMonitor(
    private val dispatcher: ItemDispatcher,
    private val runs: RunConnections,
    private val post: (() -> Unit) -> Unit,
) {
    private val monitor = InputProgressMonitor()

    /** Starts a measurement if one is due, and returns the time up to which all received bytes have been processed. */
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
