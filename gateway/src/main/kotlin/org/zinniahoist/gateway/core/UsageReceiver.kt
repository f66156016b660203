package org.zinniahoist.gateway.core

import org.zinniahoist.consensus.GroupStatus
import org.zinniahoist.policy.duty.UsageAggregator
import org.zinniahoist.state.service.UsageLedger
import org.zinniahoist.wire.ServiceCall
import org.zinniahoist.wire.ServiceReply

/** Receives the counts of entries while this replica leads. */
internal class UsageReceiver(private val ledger: UsageLedger) {
    val aggregator = UsageAggregator()

    /** Returns the reply to [call]. [status] is the present one of the replica. */
    fun receive(call: ServiceCall.ReportUsage, status: GroupStatus): ServiceReply {
        if (!status.isLeader) return ServiceReply.NotLeader(status.leader)
        val closed = ledger.newestClosed
        aggregator.onReport(status.term, call.incarnation, call.windows, closed)
        return ServiceReply.UsageReceived(status.term, closed)
    }
}
