package org.zinniahoist.wire

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** Messages between entries, which forward a trainer's request to the entry that holds the trainer's lease. */
@Serializable
@OptIn(ExperimentalSerializationApi::class)
public sealed interface PeerMessage : Message {
    /** Correlation identifier of a call and its reply, unique per link. */
    public val identifier: Long

    /** Forwards a trainer's HTTP request. */
    @Serializable
    @SerialName("peer-call")
    public class PeerCall(
        override val identifier: Long,
        public val method: String,
        public val path: String,
        @ByteString public val body: ByteArray,
        public val budgetMilliseconds: Long,
    ) : PeerMessage

    /** Returns the response to a [PeerCall]. */
    @Serializable
    @SerialName("peer-reply")
    public class PeerReply(
        override val identifier: Long,
        public val status: Int,
        public val contentType: String,
        @ByteString public val body: ByteArray,
    ) : PeerMessage
}
