package org.zinniahoist.gateway.core

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.zinniahoist.gateway.dialect.DutyCall
import org.zinniahoist.gateway.dialect.DutyDialect
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.model.Moment
import org.zinniahoist.model.WorkspaceName
import org.zinniahoist.policy.duty.DutyAnswer
import org.zinniahoist.policy.duty.SteadyWallClock
import org.zinniahoist.policy.duty.UsageAggregator
import org.zinniahoist.policy.duty.UsageReporter
import org.zinniahoist.policy.duty.UsageWindows
import org.zinniahoist.state.service.ServiceCommand
import org.zinniahoist.state.service.UsageLedger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Closes the windows of the usage reports in the log and reports them to the platform. All functions run on the engine
 * thread.
 *
 * @param send makes a call under an authority.
 * @param propose proposes a command and calls back on the engine thread once its outcome is known.
 */
internal class UsageDuty(
    private val dialect: DutyDialect,
    private val windows: UsageWindows,
    callInterval: Duration,
    private val ledger: UsageLedger,
    private val aggregator: UsageAggregator,
    private val scope: CoroutineScope,
    private val post: (() -> Unit) -> Unit,
    private val clock: () -> Moment,
    private val send: suspend (OrderAuthority, DutyCall) -> DutyAnswer,
    private val propose: (ServiceCommand, () -> Unit) -> Unit,
    private val metrics: GatewayMetrics,
    private val wallMilliseconds: () -> Long = System::currentTimeMillis,
) {
    private val wallClock = SteadyWallClock(clock(), wallMilliseconds())
    private val reporter = UsageReporter(callInterval)
    private var firstWindow = 0L
    private var closesFrom = Moment(Long.MAX_VALUE)
    private var isProposing = false
    private var isCalling = false

    /** Compares the clocks; called by leaders and followers alike. */
    fun observeClock(): Unit = wallClock.observe(clock(), wallMilliseconds())

    /** Prepares to lead in [term]. */
    fun activate(term: Long) {
        aggregator.lead(term)
        isProposing = false
        val now = clock()
        firstWindow = windows.windowAt(wallClock.at(now))
        closesFrom = now + COLLECTION_TIME
    }

    /** Closes and reports what is due under [grant]. */
    fun tick(grant: OrderAuthority) {
        val now = clock()
        ledger.newestClosed?.let(aggregator::forget)
        if (!isProposing && now >= closesFrom) proposeNext(wallClock.at(now))
        if (isCalling) return
        val unreported = ledger.unreported
        val window = reporter.next(now, unreported.keys) ?: return
        report(grant, window, unreported.getValue(window))
    }

    private fun proposeNext(wall: Long) {
        val command = forgetting(wall) ?: closing(wall) ?: return
        isProposing = true
        propose(command) { isProposing = false }
    }

    private fun forgetting(wall: Long): ServiceCommand? {
        val unreported = ledger.unreported.keys
        reporter.acceptedOf(unreported).firstOrNull()?.let { return ServiceCommand.UsageReported(it) }
        val expired = unreported.filter { it < windows.oldestReported(wall) }.minOrNull() ?: return null
        logger.warn { "event=usage-dropped window=$expired" }
        metrics.onEvent("usage_report", "dropped")
        return ServiceCommand.UsageReported(expired)
    }

    private fun closing(wall: Long): ServiceCommand? {
        val first = minOf(firstWindow, aggregator.oldestWindow() ?: firstWindow)
        val due = windows.dueForClosing(wall, ledger.newestClosed, first) ?: return null
        val counts = aggregator.counts(due)
        logger.info {
            "event=usage-window-closing window=$due workspaces=${counts.size} requests=${counts.values.sum()}"
        }
        return ServiceCommand.CloseUsageWindow(due, counts)
    }

    private fun report(grant: OrderAuthority, window: Long, counts: Map<WorkspaceName, Long>) {
        isCalling = true
        scope.launch {
            var answer = DutyAnswer.UNKNOWN
            try {
                answer = send(grant, dialect.usageReport(window, counts))
            } finally {
                post { onAnswer(grant, window, answer) }
            }
        }
    }

    private fun onAnswer(grant: OrderAuthority, window: Long, answer: DutyAnswer) {
        isCalling = false
        reporter.onAnswer(window, answer, clock())
        metrics.onEvent("usage_report", answer.name.lowercase())
        logger.info { "event=usage-reported window=$window fence=${grant.fence} answer=$answer" }
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        /** Time for the entries to learn of a new leader and to send their counts again. */
        val COLLECTION_TIME = 3.seconds
    }
}
