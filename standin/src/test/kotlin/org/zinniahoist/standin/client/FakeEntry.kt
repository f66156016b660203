package org.zinniahoist.standin.client

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import org.zinniahoist.standin.http.StandInServer
import org.zinniahoist.standin.http.answer
import java.net.URI
import java.util.concurrent.CopyOnWriteArrayList

/** Records requests and answers them with [respond], which gets the number of earlier requests to the same path. */
internal class FakeEntry(private val respond: (request: AggregatedHttpRequest, earlier: Int) -> HttpResponse) :
    AutoCloseable {
    private val server =
        StandInServer { builder ->
            builder.serviceUnder("/") { context, request ->
                answer(context, request) {
                    val earlier = requests.count { other -> pathOf(other) == pathOf(it) }
                    requests.add(it)
                    respond(it, earlier)
                }
            }
        }
    val requests = CopyOnWriteArrayList<AggregatedHttpRequest>()
    val address: URI get() = server.address

    init {
        server.start()
    }

    override fun close() = server.close()

    companion object {
        fun pathOf(request: AggregatedHttpRequest) = request.path().substringBefore('?')

        fun json(content: String, status: HttpStatus = HttpStatus.OK) = HttpResponse.of(status, MediaType.JSON, content)

        fun refusal(): HttpResponse = HttpResponse.of(
            ResponseHeaders.of(HttpStatus.SERVICE_UNAVAILABLE, "retry-after", "3"),
            com.linecorp.armeria.common.HttpData
                .ofUtf8("""{"title":"overload","verdict":"NOT_RUN","detail":"full","status":503}"""),
        )
    }
}

/** Runs [test] with an entry that answers with [respond]. */
internal fun withEntry(respond: (AggregatedHttpRequest, Int) -> HttpResponse, test: (FakeEntry) -> Unit) =
    FakeEntry(respond).use(test)
