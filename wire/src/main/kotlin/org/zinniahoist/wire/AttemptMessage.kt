package org.zinniahoist.wire

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.CallerName
import org.zinniahoist.model.Label
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.TrainerName
import org.zinniahoist.model.Verdict
import org.zinniahoist.model.WeightVersion

/** One attempt at a request, between an entry and a sidecar. */
@Serializable
@OptIn(ExperimentalSerializationApi::class)
public sealed interface AttemptMessage : Message {
    /** The attempt that the message belongs to. */
    public val attempt: AttemptIdentifier

    /** Entry to sidecar: run a request on the upstream. */
    @Serializable
    @SerialName("start")
    public class StartAttempt(
        override val attempt: AttemptIdentifier,
        public val request: RequestIdentifier,
        /** Sequence number of the last heartbeat that the entry received on this link. */
        public val heartbeatEcho: Long,
        /** Time in milliseconds that remains until the answer is of no use. */
        public val budgetMilliseconds: Long,
        public val origin: RequestOrigin,
        public val call: UpstreamCall,
        /** Hash of route and body, by which crashes are attributed to requests. */
        public val fingerprint: Long,
        /** Set if the call must run at most once. */
        public val idempotency: IdempotencyTerms? = null,
        /** Number of chunks that the sidecar may send before it waits for [Credit]. */
        public val credit: Int = INITIAL_CREDIT,
        public val traceParent: String? = null,
    ) : AttemptMessage

    /** Sidecar to entry: a part of the answer. Sequence numbers count from 0 without gaps. */
    @Serializable
    @SerialName("chunk")
    public class AttemptChunk(
        override val attempt: AttemptIdentifier,
        public val sequence: Int,
        @ByteString public val bytes: ByteArray,
        /** Number of tokens in the chunk; 0 for plain services. */
        public val tokens: Int = 0,
        /** Version that produced the tokens, or null if the engine did not say. */
        public val version: WeightVersion? = null,
    ) : AttemptMessage

    /** Sidecar to entry: the last message of an attempt. */
    @Serializable
    @SerialName("end")
    public class AttemptEnd(
        override val attempt: AttemptIdentifier,
        public val verdict: Verdict,
        /** Number of chunks sent; the answer is whole only if the entry received as many. */
        public val chunks: Int,
        /** HTTP status of the upstream, or 0 if it did not answer. */
        public val status: Int = 0,
        public val contentType: String = "",
        public val label: Label = Label(),
        public val load: LoadReport? = null,
        /** Time in milliseconds after which a refused request can be repeated. */
        public val retryAfterMilliseconds: Long = 0,
    ) : AttemptMessage

    /** Entry to sidecar: the answer is no longer wanted. */
    @Serializable
    @SerialName("cancel")
    public data class CancelAttempt(override val attempt: AttemptIdentifier) : AttemptMessage

    /** Entry to sidecar: [frames] more chunks may be sent. */
    @Serializable
    @SerialName("credit")
    public data class Credit(
        override val attempt: AttemptIdentifier,
        public val frames: Int,
    ) : AttemptMessage

    public companion object {
        /** Chunks in flight for each stream: 64 chunks cover 20 ms of a fast stream at 3 ms distance. */
        public const val INITIAL_CREDIT: Int = 64
    }
}

/** Who sent a request. */
@Serializable
public sealed interface RequestOrigin {
    /** A live caller. */
    @Serializable
    @SerialName("live")
    public data class Live(public val caller: CallerName) : RequestOrigin

    /** A trainer's sample. */
    @Serializable
    @SerialName("training")
    public data class Training(
        public val trainer: TrainerName,
        /** Share of engine time relative to other trainers. */
        public val weight: Int,
        /** Sample group within the trainer, such as `step/group`. */
        public val group: String,
        /** Samples of the group that are not finished. */
        public val remainingInGroup: Int,
        /** Expected number of tokens. */
        public val expectedTokens: Double,
    ) : RequestOrigin
}

/** An HTTP call to the upstream. */
@Serializable
@OptIn(ExperimentalSerializationApi::class)
public class UpstreamCall(
    public val method: String,
    public val path: String,
    public val contentType: String,
    @ByteString public val body: ByteArray,
)

/** Key and digest under which a call is claimed before it runs. */
@Serializable
public data class IdempotencyTerms(
    public val caller: CallerName,
    public val key: String,
    public val bodyDigest: String,
    /** Ledger group that holds the key. */
    public val ledger: String,
)
