package org.zinniahoist.gateway.dialect

import org.zinniahoist.model.FencingToken
import org.zinniahoist.model.WorkspaceName
import org.zinniahoist.policy.duty.CountOrder

/** Names and formats of the duties: calls to the platform that one process at a time makes. */
public interface DutyDialect {
    /** Name of the duty to report usage. */
    public val usageReports: String

    /** Name of the duty to order the number of upstreams. */
    public val upstreamCounts: String

    /** Returns the header fields that name the [holder] of a duty and its fencing token. */
    public fun fields(holder: String, fence: FencingToken): Map<String, String>

    /** Encodes the report of the requests that ran in [window], always to the same bytes for the same counts. */
    public fun usageReport(window: Long, counts: Map<WorkspaceName, Long>): DutyCall

    /** Encodes an order of the number of upstreams of a service in a failure domain. */
    public fun upstreamCount(order: CountOrder): DutyCall
}

/** A call to the platform: the JSON document [body], posted to [path]. */
public class DutyCall(
    public val path: String,
    public val body: ByteArray,
)
