package org.zinniahoist.daemon.sidecar

import org.zinniahoist.model.FailureReason
import org.zinniahoist.model.Label
import org.zinniahoist.model.RefusalReason
import org.zinniahoist.model.Verdict
import kotlin.time.Duration

/** What the last message of an attempt says. */
internal data class AttemptOutcome(
    val verdict: Verdict,
    val status: Int = 0,
    val contentType: String = "",
    val label: Label = Label(),
    val retryAfter: Duration = Duration.ZERO,
) {
    companion object {
        fun notRun(reason: RefusalReason, detail: String = "", retryAfter: Duration = Duration.ZERO): AttemptOutcome =
            AttemptOutcome(Verdict.NotRun(reason, detail), retryAfter = retryAfter)

        fun mayHaveRun(reason: FailureReason, detail: String = ""): AttemptOutcome =
            AttemptOutcome(Verdict.MayHaveRun(reason, detail))

        fun stoppedBeforeRun(cause: StopCause): AttemptOutcome = notRun(
            when (cause) {
                StopCause.CANCELLED, StopCause.LINK_LOST -> RefusalReason.CANCELLED
                StopCause.DEADLINE -> RefusalReason.DEADLINE_EXCEEDED
            },
        )

        fun stoppedAfterStart(cause: StopCause): AttemptOutcome = mayHaveRun(
            when (cause) {
                StopCause.CANCELLED -> FailureReason.CANCELLED
                StopCause.LINK_LOST -> FailureReason.LINK_LOST
                StopCause.DEADLINE -> FailureReason.DEADLINE_EXCEEDED
            },
        )
    }
}
