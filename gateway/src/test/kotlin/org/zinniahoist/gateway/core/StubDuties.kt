package org.zinniahoist.gateway.core

import org.zinniahoist.gateway.dialect.DutyCall
import org.zinniahoist.gateway.dialect.DutyDialect
import org.zinniahoist.model.FencingToken
import org.zinniahoist.model.WorkspaceName
import org.zinniahoist.policy.duty.CountOrder

/** Duties whose calls are readable in assertions. */
internal object StubDuties : DutyDialect {
    override val usageReports = "usage"
    override val upstreamCounts = "counts"

    override fun fields(holder: String, fence: FencingToken): Map<String, String> = mapOf(FENCE to "$fence")

    override fun usageReport(window: Long, counts: Map<WorkspaceName, Long>): DutyCall =
        DutyCall("/usage", "$window $counts".encodeToByteArray())

    override fun upstreamCount(order: CountOrder): DutyCall =
        DutyCall("/scale", "${order.service} ${order.failureDomain} ${order.count}".encodeToByteArray())

    const val FENCE = "fence"
}
