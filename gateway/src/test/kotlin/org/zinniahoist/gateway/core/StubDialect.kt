package org.zinniahoist.gateway.core

import arrow.core.Either
import org.zinniahoist.gateway.dialect.ClientCall
import org.zinniahoist.gateway.dialect.DutyDialect
import org.zinniahoist.gateway.dialect.ListPage
import org.zinniahoist.gateway.dialect.NamedVersion
import org.zinniahoist.gateway.dialect.OperatorCall
import org.zinniahoist.gateway.dialect.OutboundPaths
import org.zinniahoist.gateway.dialect.PlatformDialect
import org.zinniahoist.gateway.dialect.WeightOrder
import org.zinniahoist.gateway.entry.UpstreamFixture
import org.zinniahoist.policy.dispatch.UpstreamReport
import org.zinniahoist.policy.routes.ConfigurationFault
import org.zinniahoist.policy.routes.ServiceConfiguration
import org.zinniahoist.state.service.BatchJob
import org.zinniahoist.state.service.ItemResult

/** Dialect that implements only headers, outbound paths and upstream reports; all other functions throw. */
internal class StubDialect(private val report: UpstreamReport? = null) : PlatformDialect {
    override val headers = UpstreamFixture.Names

    override val paths: OutboundPaths = object : OutboundPaths {
        override val report = REPORT
        override val order = ORDER

        override fun list(token: String?): String = unused()
    }

    override val duties: DutyDialect = StubDuties

    override fun report(body: ByteArray): UpstreamReport? = report

    override fun order(order: WeightOrder): ByteArray = order.toString().encodeToByteArray()

    override fun clientCall(method: String, path: String, query: String?): ClientCall = unused()

    override fun operatorCall(method: String, path: String): OperatorCall = unused()

    override fun configuration(document: ByteArray): Either<ConfigurationFault, ServiceConfiguration> = unused()

    override fun job(
        identifier: String,
        host: String,
        path: String,
        body: ByteArray,
    ): Either<String, BatchJob> = unused()

    override fun jobPage(total: Int, after: Int, results: List<ItemResult>): ByteArray = unused()

    override fun sizeOf(result: ItemResult): Int = unused()

    override fun listPage(body: ByteArray): ListPage = unused()

    override fun namedVersion(body: ByteArray): NamedVersion = unused()

    override fun retirement(isComplete: Boolean): ByteArray = unused()

    private fun unused(): Nothing = error("function not implemented by StubDialect")

    companion object {
        const val REPORT = "/report"
        const val ORDER = "/order"
    }
}
