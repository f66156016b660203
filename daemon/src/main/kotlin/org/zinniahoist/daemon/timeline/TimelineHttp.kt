package org.zinniahoist.daemon.timeline

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.serialization.json.Json
import org.zinniahoist.state.report.ProblemReport
import org.zinniahoist.state.report.TimelinePage

/** Serves the events of [recorder] under `GET /timeline?after=&limit=`. */
public class TimelineHttp(private val recorder: TimelineRecorder) {
    /** Adds the route to [builder]. */
    public fun configure(builder: ServerBuilder) {
        builder.route().get(PATH).build { context, _ -> answer(context) }
    }

    private fun answer(context: ServiceRequestContext): HttpResponse {
        val after = (context.queryParam("after") ?: "0").toLongOrNull()?.takeIf { it >= 0 }
            ?: return problem("'after' is no number from 0")
        val limit = (context.queryParam("limit") ?: "$MAXIMUM_EVENTS").toIntOrNull()?.takeIf { it in 1..MAXIMUM_EVENTS }
            ?: return problem("'limit' is no number from 1 to $MAXIMUM_EVENTS")
        val page = Json.encodeToString(TimelinePage.serializer(), recorder.page(after, limit))
        return HttpResponse.of(HttpStatus.OK, MediaType.JSON_UTF_8, page)
    }

    private fun problem(detail: String): HttpResponse {
        val problem = ProblemReport("malformed request", HttpStatus.BAD_REQUEST.code(), detail)
        val body = Json.encodeToString(ProblemReport.serializer(), problem)
        return HttpResponse.of(HttpStatus.BAD_REQUEST, MediaType.parse(ProblemReport.MEDIA_TYPE), body)
    }

    private companion object {
        const val PATH = "/timeline"

        /** Keeps an answer below a few megabytes. */
        const val MAXIMUM_EVENTS = 5_000
    }
}
