package org.zinniahoist.gateway.upstream

import com.linecorp.armeria.common.ClosedSessionException
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.common.SplitHttpResponse
import kotlinx.coroutines.future.await
import java.io.IOException

/** A response that was received completely. */
internal class WholeAnswer(
    val headers: ResponseHeaders,
    val body: ByteArray,
) {
    val status: Int get() = headers.status().code()
}

/** The connection closed before any part of the response arrived, although the request was sent. */
internal class UnansweredException(cause: Throwable) : IOException("$cause before a response", cause)

/**
 * Waits for the headers of the response.
 *
 * @throws UnansweredException if the connection closes first.
 */
internal suspend fun SplitHttpResponse.awaitHeaders(): ResponseHeaders = try {
    headers().await()
} catch (closed: ClosedSessionException) {
    throw UnansweredException(closed)
} catch (broken: IOException) {
    throw UnansweredException(broken)
}

/** The response on the connection belongs to another request. */
internal class ForeignAnswerException(detail: String) : IOException(detail)

/**
 * Reads [response] completely. Closes the connection if the coroutine is cancelled, or if the response does not echo
 * [identifier] in the header [identifierName], as later responses on that connection would be mismatched as well. The
 * bytes of a complete response stay reserved in [reservation].
 *
 * @throws AnswerMemoryException if the memory for the body can't be reserved.
 * @throws UnansweredException if the connection closes before the response begins.
 * @throws ForeignAnswerException if the response belongs to another request.
 */
internal suspend fun readWhole(
    response: HttpResponse,
    identifierName: String,
    identifier: String?,
    reservation: ResponseMemory.Reservation? = null,
): WholeAnswer {
    val collector = BodyCollector(reservation)
    var isComplete = false
    try {
        val split = response.split()
        val headers = split.awaitHeaders()
        val echoed = headers.get(identifierName)
        if (echoed != identifier) throw ForeignAnswerException("response echoes request $echoed instead of $identifier")
        split.body().subscribe(collector)
        val chunks = collector.result.await()
        isComplete = true
        return WholeAnswer(headers, concatenate(chunks))
    } finally {
        if (!isComplete) {
            response.abort()
            collector.discard()
        }
    }
}

private fun concatenate(chunks: List<HttpData>): ByteArray {
    if (chunks.size == 1) return chunks.single().array()
    val bytes = ByteArray(chunks.sumOf { it.length() })
    var offset = 0
    for (chunk in chunks) {
        chunk.array().copyInto(bytes, offset)
        offset += chunk.length()
    }
    return bytes
}
