package org.zinniahoist.gateway.core

import org.zinniahoist.consensus.GroupStatus
import org.zinniahoist.model.Moment
import org.zinniahoist.policy.duty.LiveLoadTracker
import org.zinniahoist.policy.duty.UsageAggregator
import org.zinniahoist.state.service.UsageLedger
import org.zinniahoist.wire.ServiceCall
import org.zinniahoist.wire.ServiceReply

/** Receives the counts of entries while this replica leads. */
internal class UsageReceiver(
    private val ledger: UsageLedger,
    private val clock: () -> Moment = { Moment(System.nanoTime()) },
) {
    val aggregator = UsageAggregator()
    val live = LiveLoadTracker()

    private var term = 0L

    /** Returns the reply to [call]. [status] is the present one of the replica. */
    @Synchronized
    fun receive(call: ServiceCall.ReportUsage, status: GroupStatus): ServiceReply {
        if (!status.isLeader) return ServiceReply.NotLeader(status.leader)
        // Sums that entries reported to this replica in an earlier term are too old to be compared with.
        if (status.term != term) live.clear()
        term = status.term
        val closed = ledger.newestClosed
        aggregator.onReport(status.term, call.incarnation, call.windows, closed)
        live.onReport(call.incarnation, call.busyMilliseconds, clock())
        return ServiceReply.UsageReceived(status.term, closed)
    }
}
