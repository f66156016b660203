package org.zinniahoist.gateway.upstream

import com.linecorp.armeria.client.ClientRequestContext
import com.linecorp.armeria.common.HttpResponse

/**
 * Returns this answer, whose pieces are taken by the thread of its connection and handed on to the thread of their
 * reader.
 *
 * The thread of a connection pauses reading while many bytes wait, and the one that takes them resumes it. If these are
 * two threads, the resumption may come before its pause, and the connection is never read again.
 */
internal fun HttpResponse.takenByConnection(context: ClientRequestContext): HttpResponse =
    subscribeOn(context.eventLoop().withoutContext())
