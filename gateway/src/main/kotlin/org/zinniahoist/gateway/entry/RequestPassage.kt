package org.zinniahoist.gateway.entry

import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import org.zinniahoist.model.Moment
import org.zinniahoist.policy.routes.Route
import org.zinniahoist.policy.routes.RouteKind
import java.util.concurrent.CompletableFuture

/**
 * Whether one request of a client may have run, so that an entry that stops can end it with a truthful answer.
 *
 * @param serviceEnd when the entry stops to serve, or null while it is not stopping.
 */
internal class RequestPassage(private val serviceEnd: () -> Moment?) {
    private var mayHaveRun = false
    private var isEnded = false

    /** Notes that the request, which must be answered by [deadline], is passed on. Returns false if it must not be. */
    @Synchronized
    fun enter(route: Route, deadline: Moment, present: Moment): Boolean {
        val end = serviceEnd()
        if (isEnded || end != null && !endsInTime(route, deadline, present, end)) return false
        mayHaveRun = true
        return true
    }

    /** Notes that the request is passed on to the core. Returns false if it must not be. */
    @Synchronized
    fun enterCore(): Boolean {
        mayHaveRun = !isEnded
        return mayHaveRun
    }

    /** Lets nobody pass the request on from now on. Returns whether it may have run. */
    @Synchronized
    fun end(): Boolean {
        isEnded = true
        return mayHaveRun
    }

    companion object {
        /**
         * Returns whether a request may be passed on at [present] by an entry that serves until [end].
         *
         * What can't be sent again has to end by its deadline. What may be repeated is tried if its target is in time.
         */
        fun endsInTime(
            route: Route,
            deadline: Moment,
            present: Moment,
            end: Moment,
        ): Boolean = when (route.kind) {
            RouteKind.REPEATABLE -> minOf(deadline, present + route.target) <= end
            RouteKind.AT_MOST_ONCE, RouteKind.EVENT_STREAM, RouteKind.BATCH -> deadline <= end
        }
    }
}

/** A request of a client whose [answer] has not begun. */
internal class OpenRequest(
    val request: HttpRequest,
    val passage: RequestPassage,
    val answer: CompletableFuture<HttpResponse>,
)
