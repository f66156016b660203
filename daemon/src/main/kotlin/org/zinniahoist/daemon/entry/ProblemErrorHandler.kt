package org.zinniahoist.daemon.entry

import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.ServerErrorHandler
import com.linecorp.armeria.server.ServiceConfig
import com.linecorp.armeria.server.ServiceRequestContext
import org.zinniahoist.model.RefusalReason
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.Verdict

/** Renders errors that the HTTP server raises before it calls a service as problem documents. */
internal object ProblemErrorHandler : ServerErrorHandler {
    override fun onServiceException(context: ServiceRequestContext, cause: Throwable): HttpResponse? = null

    override fun renderStatus(
        context: ServiceRequestContext?,
        config: ServiceConfig,
        headers: RequestHeaders?,
        status: HttpStatus,
        description: String?,
        cause: Throwable?,
    ): AggregatedHttpResponse? {
        val reason = when {
            status == HttpStatus.REQUEST_ENTITY_TOO_LARGE -> RefusalReason.BODY_TOO_LARGE
            status == HttpStatus.NOT_FOUND -> RefusalReason.UNKNOWN_ROUTE
            status == HttpStatus.SERVICE_UNAVAILABLE -> RefusalReason.DRAINING
            status.isClientError -> RefusalReason.MALFORMED
            else -> return null
        }
        val identifier = RequestIdentifier(context?.id()?.text() ?: "none")
        val problem = Problem(Verdict.NotRun(reason, description.orEmpty()), identifier)
        val built = ResponseHeaders.builder(status).add(HttpHeaderNames.CONTENT_TYPE, Problem.MEDIA_TYPE).build()
        return AggregatedHttpResponse.of(built, HttpData.ofUtf8(problem.toJson()))
    }
}
