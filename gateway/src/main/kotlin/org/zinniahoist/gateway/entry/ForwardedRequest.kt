package org.zinniahoist.gateway.entry

import com.linecorp.armeria.common.RequestHeaders
import org.zinniahoist.gateway.upstream.RequestBody
import org.zinniahoist.gateway.upstream.RequestContent
import org.zinniahoist.gateway.upstream.ResponseMemory
import org.zinniahoist.model.Moment
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.WorkspaceName
import org.zinniahoist.policy.live.LiveRequest
import org.zinniahoist.policy.routes.Route

/** A client request that is forwarded to an upstream. */
internal class ForwardedRequest(
    val headers: RequestHeaders,
    val body: RequestBody,
    val identifier: String?,
    val route: Route,
    val deadline: Moment,
    /** Accounts for the bytes of its responses. */
    val reservation: ResponseMemory.Reservation,
    val guard: DispatchGuard,
    val usage: RequestUsage = RequestUsage.NONE,
    /** Priority of the request among others that wait for the same service. */
    private val priority: Int = route.priority,
    private val workspace: WorkspaceName? = null,
    arrival: Moment = deadline - route.timeout,
) {
    /** Moment until which the response has its full value. */
    private val targetEnd = minOf(deadline, arrival + route.target)

    /** Returns this request as the admission to [service] sees it. */
    fun live(service: ServiceName) = LiveRequest(service, priority, workspace, route.target, targetEnd)

    /** Marks the request as dispatched at [now]. Returns false if it must not be sent because of a shutdown. */
    fun tryDispatch(now: Moment): Boolean = guard.tryDispatch(route, deadline, now)

    /** What the request has in common with its retries. */
    val content = RequestContent(headers.method().name, headers.authority().orEmpty(), headers.path(), body)
}
