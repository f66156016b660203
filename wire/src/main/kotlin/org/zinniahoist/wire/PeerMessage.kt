package org.zinniahoist.wire

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** Calls between entries: a trainer's request is forwarded to the entry that holds the trainer's lease. */
@Serializable
@OptIn(ExperimentalSerializationApi::class)
public sealed interface PeerMessage : Message {
    /** Number that pairs call and reply on one link. */
    public val identifier: Long

    /** A trainer's request. */
    @Serializable
    @SerialName("peer-call")
    public class PeerCall(
        override val identifier: Long,
        public val method: String,
        public val path: String,
        @ByteString public val body: ByteArray,
        public val budgetMilliseconds: Long,
    ) : PeerMessage

    /** Answer to a [PeerCall]. */
    @Serializable
    @SerialName("peer-reply")
    public class PeerReply(
        override val identifier: Long,
        public val status: Int,
        public val contentType: String,
        @ByteString public val body: ByteArray,
    ) : PeerMessage
}
