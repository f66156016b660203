package org.zinniahoist.daemon.sidecar

import org.zinniahoist.daemon.configuration.ActiveSettings
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RefusalReason
import org.zinniahoist.model.Role
import org.zinniahoist.wire.AttemptMessage
import org.zinniahoist.wire.LinkConnection
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Decides whether a start is taken at all. */
internal class StartChecks(
    private val inForce: ActiveSettings,
    private val orders: OrderExecutor,
    private val state: UpstreamState,
    private val maximumAttempts: Int,
) {
    /** Returns why a start is refused, or null if it is accepted. */
    fun refusal(link: LinkConnection, start: AttemptMessage.StartAttempt, present: Present): AttemptOutcome? {
        val heartbeatAt = link.heartbeatSentAt(start.heartbeatEcho)
        return when {
            Role.ENTRY !in link.peer.roles -> AttemptOutcome.notRun(RefusalReason.UNAUTHORIZED)

            heartbeatAt == null || present.now - heartbeatAt > FRESHNESS ->
                AttemptOutcome.notRun(RefusalReason.STALE_START)

            present.isDraining -> AttemptOutcome.notRun(RefusalReason.DRAINING)
            inForce.settings == null ->
                AttemptOutcome.notRun(RefusalReason.CONTROL_UNAVAILABLE, "no settings were read")

            !orders.isRead -> AttemptOutcome.notRun(RefusalReason.CONTROL_UNAVAILABLE, "no orders were read")
            start.budgetMilliseconds <= 0 -> AttemptOutcome.notRun(RefusalReason.DEADLINE_EXCEEDED)
            present.attempts >= maximumAttempts ->
                AttemptOutcome.notRun(RefusalReason.OVERLOADED, retryAfter = RETRY_AFTER)

            !state.isAvailable && !state.isSuspended ->
                AttemptOutcome.notRun(RefusalReason.NO_UPSTREAM, "the upstream is not available")

            else -> null
        }
    }

    /** What the decision depends on besides the start. */
    class Present(
        val now: Moment,
        val isDraining: Boolean,
        val attempts: Int,
    )

    private companion object {
        /** An entry that was paused for longer decides on old knowledge. */
        val FRESHNESS: Duration = 5.seconds
        val RETRY_AFTER: Duration = 1.seconds
    }
}
