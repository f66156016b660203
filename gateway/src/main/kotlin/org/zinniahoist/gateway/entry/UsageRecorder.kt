package org.zinniahoist.gateway.entry

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.zinniahoist.gateway.link.CoreClient
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.Moment
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.WorkspaceName
import org.zinniahoist.policy.duty.SteadyWallClock
import org.zinniahoist.policy.duty.UsageCounter
import org.zinniahoist.policy.duty.UsageWindows
import org.zinniahoist.policy.routes.Route
import org.zinniahoist.wire.ServiceCall
import org.zinniahoist.wire.ServiceReply
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration.Companion.seconds

/** Counts a client request once, when the first upstream answers it. */
internal fun interface RequestUsage {
    /** Records that an upstream has begun to run the request, which was [ranFrom] at the earliest. */
    fun onAnswered(ranFrom: Moment)

    companion object {
        /** Counts nothing. */
        val NONE = RequestUsage { }
    }
}

/** Counts the requests of workspaces that upstreams answer, and reports the counts to the leader. */
internal class UsageRecorder(
    private val incarnation: Incarnation,
    windows: UsageWindows,
    private val isCounting: Boolean,
    private val core: CoreClient,
    private val clock: () -> Moment,
    private val metrics: GatewayMetrics,
    private val wallMilliseconds: () -> Long = System::currentTimeMillis,
) {
    private val wallClock = SteadyWallClock(clock(), wallMilliseconds())
    private val counter = UsageCounter(windows)

    /** Services whose number of upstreams is ordered, for which the time of live requests is measured. */
    @Volatile
    var scaledServices: Set<ServiceName> = emptySet()

    /** Returns the count of a new request of [caller]; requests without a workspace are not counted. */
    fun newRequest(caller: Caller): RequestUsage {
        if (!isCounting || caller !is Caller.Member) return RequestUsage.NONE
        val isCounted = AtomicBoolean()
        return RequestUsage { ranFrom -> if (!isCounted.getAndSet(true)) count(caller.workspace, ranFrom) }
    }

    private fun count(workspace: WorkspaceName, ranFrom: Moment) {
        if (!counter.add(workspace, wallClock.at(ranFrom))) metrics.onEvent("usage_count", "window_closed")
    }

    /** Measures the time of [incoming], a live request on [route]. */
    fun onBegin(incoming: IncomingRequest, route: Route) {
        val shares = route.shares.filter { it.weight > 0 && it.service in scaledServices }
        if (shares.isEmpty()) return
        val weights = route.shares.sumOf { it.weight }
        incoming.context.log().whenComplete().thenRun {
            val time = clock() - incoming.arrival
            shares.forEach { counter.addBusy(it.service, time * it.weight / weights) }
        }
    }

    /** Reports the counts until [scope] is cancelled. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                delay(REPORT_INTERVAL)
                report()
            }
        }
    }

    private suspend fun report() {
        val now = clock()
        wallClock.observe(now, wallMilliseconds())
        val report = counter.pendingReport(wallClock.at(now), core.leaderTerm) ?: return
        val call = ServiceCall.ReportUsage(incarnation, report.windows, report.busyMilliseconds)
        val reply = core.callLeader(call, REPORT_TIMEOUT)
        if (reply is ServiceReply.UsageReceived) {
            counter.onAccepted(report, reply.term, reply.newestClosed)
        } else {
            metrics.onEvent("usage_count", "not_received")
        }
    }

    private companion object {
        val REPORT_INTERVAL = 1.seconds

        /** Longer than an election; the next report has the same counts and more. */
        val REPORT_TIMEOUT = 2.seconds
    }
}
