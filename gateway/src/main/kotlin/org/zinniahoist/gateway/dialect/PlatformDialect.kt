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

/** Names, formats and calls of the platform on which a gateway runs. Decides nothing. */
public interface PlatformDialect {
    /** Names of the headers. */
    public val headers: HeaderNames

    /** Paths of the calls that this process makes. */
    public val paths: OutboundPaths

    /** Returns the call that a client makes with [method], [path] and [query], or null if it is a plain request. */
    public fun clientCall(method: String, path: String, query: String?): ClientCall?

    /** Returns the call that an operator makes with [method] and [path], or null if there is none. */
    public fun operatorCall(method: String, path: String): OperatorCall?

    /** Decodes a configuration. */
    public fun configuration(document: ByteArray): Either<ConfigurationFault, ServiceConfiguration>

    /** Decodes a batch job that was submitted as [identifier] to [host] and [path]; a left names the fault. */
    public fun job(
        identifier: String,
        host: String,
        path: String,
        body: ByteArray,
    ): Either<String, BatchJob>

    /** Encodes the [results] of a job from position [after] on. */
    public fun jobPage(total: Int, after: Int, results: List<ItemResult>): ByteArray

    /** Size in bytes that [result] takes in a page, at most. */
    public fun sizeOf(result: ItemResult): Int

    /** Decodes one page of the platform's list, or returns null if it can't be read at all. */
    public fun listPage(body: ByteArray): ListPage?

    /** Decodes what an upstream says of itself, or returns null. */
    public fun report(body: ByteArray): UpstreamReport?

    /** Encodes an order. */
    public fun order(order: WeightOrder): ByteArray

    /** Decodes a trainer's announcement of new weights, or returns null. */
    public fun namedVersion(body: ByteArray): NamedVersion?

    /** Encodes whether a machine has been emptied. */
    public fun retirement(isComplete: Boolean): ByteArray
}

/** Names of the headers that the product reads or sets. */
public interface HeaderNames {
    /** Identifier of a request, which the upstream echoes. */
    public val requestIdentifier: String

    /** Milliseconds for which the sender still waits. */
    public val remainingMilliseconds: String

    /** Signature of the upstream under its answer. */
    public val answerStamp: String

    /** The only upstream that may run the request. */
    public val expectedUpstream: String

    /** Set by an upstream that did not run the request. */
    public val notRun: String

    /** Weights under which an answer begins. */
    public val weightVersion: String

    /** Last event that was received of a stream. */
    public val lastEvent: String

    /** Milliseconds for which a reader of results is willing to wait. */
    public val waitMilliseconds: String
}

/** Paths of calls to upstreams and to the platform. */
public interface OutboundPaths {
    /** Report of an upstream. */
    public val report: String

    /** Orders to an upstream. */
    public val order: String

    /** Returns the path of the page of the platform's list that follows [token]. */
    public fun list(token: String?): String
}

/** A call of a client about a batch job. */
public sealed interface ClientCall {
    /** Read results from position [after] on. */
    public data class ReadJob(
        public val job: String,
        public val after: Int,
    ) : ClientCall

    /** Read the body of an item. */
    public data class ReadItem(
        public val job: String,
        public val item: String,
    ) : ClientCall

    /** End a job. */
    public data class EndJob(public val job: String) : ClientCall

    /** A call with a faulty path or query. */
    public data class Malformed(public val detail: String) : ClientCall
}

/** A call of an operator or trainer. */
public sealed interface OperatorCall {
    /** Replace the configuration. */
    public data object Configure : OperatorCall

    /** Read the configuration. */
    public data object ReadConfiguration : OperatorCall

    /** Name new weights. */
    public data object NameVersion : OperatorCall

    /** Empty a machine. */
    public data class Retire(public val machine: String) : OperatorCall

    /** Ask how far the emptying of a machine is. */
    public data class ReadRetirement(public val machine: String) : OperatorCall
}

/** One page of the platform's list. Entries that could not be read are left out. */
public data class ListPage(
    public val entries: List<ListedUpstream>,
    public val unreadable: Int,
    public val nextToken: String?,
)

/** New weights as a trainer named them. */
public data class NamedVersion(
    public val model: ModelName,
    public val version: WeightVersion,
)

/** An order to load weights. */
public data class WeightOrder(
    public val model: ModelName,
    public val version: WeightVersion,
    public val mode: LoadMode,
    public val holder: String,
    public val fence: FencingToken,
    /** Orders that the upstream must have accepted before. */
    public val expectedOrders: Long,
)
