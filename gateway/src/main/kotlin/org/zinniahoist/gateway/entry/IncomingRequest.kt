package org.zinniahoist.gateway.entry

import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.server.ServiceRequestContext
import org.zinniahoist.model.Moment

/** A client's request while an entry serves it, with what it holds of the memory of the process. */
internal class IncomingRequest(
    val context: ServiceRequestContext,
    val http: HttpRequest,
    val arrival: Moment,
    val guard: DispatchGuard,
    memory: EntryMemory,
) : AutoCloseable {
    val body = memory.requests.newReservation()
    val response = memory.responses.newReservation()

    override fun close() {
        body.close()
        response.close()
    }
}
