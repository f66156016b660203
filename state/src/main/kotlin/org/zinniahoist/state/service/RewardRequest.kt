@file:OptIn(ExperimentalSerializationApi::class)

package org.zinniahoist.state.service

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.zinniahoist.model.RequestIdentifier

/**
 * Request that scores the complete text of an item. It is idempotent and is posted to an upstream of the route that
 * [host] and [path] select.
 *
 * @throws IllegalArgumentException if the identifier, host or path is malformed or too long.
 */
@Serializable
public class RewardRequest(
    public val identifier: RequestIdentifier,
    public val host: String,
    /** Path with its query, sent unchanged. */
    public val path: String,
    @ByteString public val body: ByteArray,
) {
    init {
        require(isHeaderText(identifier.value, MAXIMUM_NAME_LENGTH)) { "malformed identifier of a reward request" }
        require(isHeaderText(host, MAXIMUM_NAME_LENGTH)) { "malformed host of a reward request" }
        require(isHeaderText(path, MAXIMUM_PATH_LENGTH)) { "malformed path of a reward request" }
        require(path.startsWith("/")) { "path of a reward request without a leading slash" }
        require(body.size <= MAXIMUM_BODY_BYTES) { "body of a reward request with ${body.size} bytes" }
    }

    private companion object {
        const val MAXIMUM_NAME_LENGTH = 256
        const val MAXIMUM_PATH_LENGTH = 4_096

        /** The body stays in the replicated state until the job expires. */
        const val MAXIMUM_BODY_BYTES = 1 shl 20
        val PRINTABLE_ASCII = '!'..'~'

        /** Returns true if [text] can be sent in a request line or a header field. */
        fun isHeaderText(text: String, maximumLength: Int): Boolean =
            text.length in 1..maximumLength && text.all { it in PRINTABLE_ASCII }
    }
}
