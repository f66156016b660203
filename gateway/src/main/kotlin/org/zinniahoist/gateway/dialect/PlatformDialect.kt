package org.zinniahoist.gateway.dialect

import arrow.core.Either
import org.zinniahoist.model.FencingToken
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.policy.dispatch.LoadMode
import org.zinniahoist.policy.dispatch.UpstreamReport
import org.zinniahoist.policy.routes.ConfigurationFault
import org.zinniahoist.policy.routes.ServiceConfiguration
import org.zinniahoist.state.service.BatchJob
import org.zinniahoist.state.service.ItemResult

/** Adapts a gateway to the header names, paths and formats of its platform. Contains no policy. */
public interface PlatformDialect {
    /** Header names of the platform. */
    public val headers: HeaderNames

    /** Paths of outbound calls. */
    public val paths: OutboundPaths

    /** Names and formats of the duties. */
    public val duties: DutyDialect

    /** Decodes a client's call about a batch job, or returns null if the request is to be routed to an upstream. */
    public fun clientCall(method: String, path: String, query: String?): ClientCall?

    /** Decodes an operator's call from [method] and [path], or returns null if there is no such call. */
    public fun operatorCall(method: String, path: String): OperatorCall?

    /** Decodes a configuration, or returns the fault that makes it invalid. */
    public fun configuration(document: ByteArray): Either<ConfigurationFault, ServiceConfiguration>

    /** Decodes a batch job submitted as [identifier] to [host] and [path], or returns the reason why it is invalid. */
    public fun job(
        identifier: String,
        host: String,
        path: String,
        body: ByteArray,
    ): Either<String, BatchJob>

    /** Encodes a page of job [results] that starts at position [after]; the job has [total] results. */
    public fun jobPage(total: Int, after: Int, results: List<ItemResult>): ByteArray

    /** Returns an upper bound for the encoded size of [result] in a page, in bytes. */
    public fun sizeOf(result: ItemResult): Int

    /** Decodes one page of the platform's list of upstreams, or returns null if the page is malformed. */
    public fun listPage(body: ByteArray): ListPage?

    /** Decodes the status report of an upstream, or returns null if it is malformed. */
    public fun report(body: ByteArray): UpstreamReport?

    /** Encodes an order to load weights. */
    public fun order(order: WeightOrder): ByteArray

    /** Decodes a trainer's announcement of a new weight version, or returns null if it is malformed. */
    public fun namedVersion(body: ByteArray): NamedVersion?

    /** Encodes whether the drain of a machine [isComplete]. */
    public fun retirement(isComplete: Boolean): ByteArray
}

/** Names of the HTTP headers that the gateway reads or sets. */
public interface HeaderNames {
    /** Identifier of a request, which the upstream echoes in its response. */
    public val requestIdentifier: String

    /** Remaining time in milliseconds until the sender of a request times out. */
    public val remainingMilliseconds: String

    /** Signature that an upstream adds to its response. */
    public val answerStamp: String

    /** Identity of the only upstream that may run the request. */
    public val expectedUpstream: String

    /** Name of the workspace on whose behalf a request is sent to an upstream. */
    public val workspace: String

    /** Set by an upstream that did not run the request. */
    public val notRun: String

    /** Set in all responses of an upstream that is leaving. */
    public val upstreamLeaving: String

    /** Weight version at the start of a response. */
    public val weightVersion: String

    /** Number of the last event that was received of a stream. */
    public val lastEvent: String

    /** Maximum time in milliseconds that a reader waits for new results (long polling). */
    public val waitMilliseconds: String
}

/** Paths of outbound calls to upstreams and to the platform. */
public interface OutboundPaths {
    /** Path of the status report of an upstream. */
    public val report: String

    /** Path to which orders for an upstream are posted. */
    public val order: String

    /** Returns the path of the list page that follows [token], or of the first page if [token] is null. */
    public fun list(token: String?): String
}

/** A client's call about a batch job. */
public sealed interface ClientCall {
    /** Reads the results of [job] from position [after] on. */
    public data class ReadJob(
        public val job: String,
        public val after: Int,
    ) : ClientCall

    /** Reads the body of an item. */
    public data class ReadItem(
        public val job: String,
        public val item: String,
    ) : ClientCall

    /** Ends a job. */
    public data class EndJob(public val job: String) : ClientCall

    /** A call with an invalid path or query. */
    public data class Malformed(public val detail: String) : ClientCall
}

/** A call by an operator or a trainer. */
public sealed interface OperatorCall {
    /** Replaces the configuration. */
    public data object Configure : OperatorCall

    /** Reads the configuration. */
    public data object ReadConfiguration : OperatorCall

    /** Announces a new weight version. */
    public data object NameVersion : OperatorCall

    /** Drains a machine. */
    public data class Retire(public val machine: String) : OperatorCall

    /** Reads the progress of draining a machine. */
    public data class ReadRetirement(public val machine: String) : OperatorCall
}

/** One page of the platform's list of upstreams. Contains no malformed entries; [unreadable] is their number. */
public data class ListPage(
    public val entries: List<ListedUpstream>,
    public val unreadable: Int,
    public val nextToken: String?,
)

/** A new weight version of a model, as announced by a trainer. */
public data class NamedVersion(
    public val model: ModelName,
    public val version: WeightVersion,
)

/** An order to an upstream to load weights. */
public data class WeightOrder(
    public val model: ModelName,
    public val version: WeightVersion,
    public val mode: LoadMode,
    public val holder: String,
    public val fence: FencingToken,
    /** Number of orders that the upstream must already have accepted. */
    public val expectedOrders: Long,
)
