package org.zinniahoist.gateway.upstream

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.ResponseHeaders
import kotlinx.coroutines.future.await
import java.io.IOException

/** An answer that was received to its end. */
internal class WholeAnswer(
    val headers: ResponseHeaders,
    val body: ByteArray,
) {
    val status: Int get() = headers.status().code()
}

/** The answer on the connection belongs to another request. */
internal class ForeignAnswerException(detail: String) : IOException(detail)

/**
 * Reads [response] to its end. The connection is closed if the coroutine is cancelled, and if the answer doesn't echo
 * [identifier] in the header [identifierName]: what follows on such a connection belongs to other requests as well.
 * The bytes of an answer that was read to its end stay in [share].
 *
 * @throws AnswerMemoryException if [share] has no room for the body.
 */
internal suspend fun readWhole(
    response: HttpResponse,
    identifierName: String,
    identifier: String?,
    share: AnswerMemory.Share? = null,
): WholeAnswer {
    val collector = BodyCollector(share)
    var isWhole = false
    try {
        val split = response.split()
        val headers = split.headers().await()
        val echoed = headers.get(identifierName)
        if (echoed != identifier) throw ForeignAnswerException("echo $echoed instead of $identifier")
        split.body().subscribe(collector)
        val parts = collector.result.await()
        isWhole = true
        return WholeAnswer(headers, join(parts))
    } finally {
        if (!isWhole) {
            response.abort()
            collector.drop()
        }
    }
}

private fun join(parts: List<HttpData>): ByteArray {
    if (parts.size == 1) return parts.single().array()
    val bytes = ByteArray(parts.sumOf { it.length() })
    var offset = 0
    for (part in parts) {
        part.array().copyInto(bytes, offset)
        offset += part.length()
    }
    return bytes
}
