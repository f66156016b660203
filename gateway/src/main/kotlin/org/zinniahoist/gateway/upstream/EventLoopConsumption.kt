package org.zinniahoist.gateway.upstream

import com.linecorp.armeria.client.ClientRequestContext
import com.linecorp.armeria.common.HttpResponse

/**
 * Returns this response with its subscription bound to the event loop of its connection, which then delivers the
 * chunks to the executor of the subscriber.
 *
 * The event loop pauses reading while many bytes are buffered, and the thread that consumes them resumes it. If these
 * are different threads, the resumption can precede the pause, and the connection stalls forever.
 */
internal fun HttpResponse.consumedOnEventLoop(context: ClientRequestContext): HttpResponse =
    subscribeOn(context.eventLoop().withoutContext())
