package org.zinniahoist.gateway.upstream

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.ResponseHeaders
import kotlinx.coroutines.future.await
import java.io.IOException

/** A response that was received completely. */
internal class WholeAnswer(
    val headers: ResponseHeaders,
    val body: ByteArray,
) {
    val status: Int get() = headers.status().code()
}

/** The response on the connection belongs to another request. */
internal class ForeignAnswerException(detail: String) : IOException(detail)

/**
 * Reads [response] completely. Closes the connection if the coroutine is cancelled, or if the response does not echo
 * [identifier] in the header [identifierName], as later responses on that connection would be mismatched as well. The
 * bytes of a complete response stay reserved in [reservation].
 *
 * @throws AnswerMemoryException if the memory for the body can't be reserved.
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
        val headers = split.headers().await()
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
