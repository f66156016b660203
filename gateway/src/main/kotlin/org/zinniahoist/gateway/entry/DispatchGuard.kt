package org.zinniahoist.gateway.entry

import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import org.zinniahoist.model.Moment
import org.zinniahoist.policy.routes.Route
import org.zinniahoist.policy.routes.RouteKind
import java.util.concurrent.CompletableFuture

/**
 * Tracks whether a client request has been dispatched and may have run, so that an entry that shuts down can respond
 * with the correct outcome.
 *
 * @param serviceEnd returns the time at which the entry stops serving, or null while it is not shutting down.
 */
internal class DispatchGuard(private val serviceEnd: () -> Moment?) {
    private var mayHaveRun = false
    private var isClosed = false

    /** Marks the request, whose response is due by [deadline], as dispatched. Returns false if it must not be sent. */
    @Synchronized
    fun tryDispatch(route: Route, deadline: Moment, now: Moment): Boolean {
        val end = serviceEnd()
        if (isClosed || end != null && !canFinish(route, deadline, now, end)) return false
        mayHaveRun = true
        return true
    }

    /** Marks the request as dispatched to the core. Returns false if it must not be sent. */
    @Synchronized
    fun tryDispatchToCore(): Boolean {
        mayHaveRun = !isClosed
        return mayHaveRun
    }

    /** Prevents any further dispatch of the request. Returns whether it may have run. */
    @Synchronized
    fun close(): Boolean {
        isClosed = true
        return mayHaveRun
    }

    companion object {
        /**
         * Returns whether an entry that serves until [end] may dispatch a request at [now].
         *
         * A request that must not be retried is dispatched only if its deadline is not after [end]. For a repeatable
         * request it is enough that its latency target falls before [end].
         */
        fun canFinish(
            route: Route,
            deadline: Moment,
            now: Moment,
            end: Moment,
        ): Boolean = when (route.kind) {
            RouteKind.REPEATABLE -> minOf(deadline, now + route.target) <= end
            RouteKind.AT_MOST_ONCE, RouteKind.EVENT_STREAM, RouteKind.BATCH -> deadline <= end
        }
    }
}

/** A client request whose response has not started. */
internal class PendingRequest(
    val request: HttpRequest,
    val guard: DispatchGuard,
    val response: CompletableFuture<HttpResponse>,
)
