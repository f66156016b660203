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

/** Messages between an entry and a sidecar about one attempt at a request. */
@Serializable
@OptIn(ExperimentalSerializationApi::class)
public sealed interface AttemptMessage : Message {
    /** Identifier of the attempt to which the message belongs. */
    public val attempt: AttemptIdentifier

    /** Entry to sidecar: starts an attempt on the upstream. */
    @Serializable
    @SerialName("start")
    public class StartAttempt(
        override val attempt: AttemptIdentifier,
        public val request: RequestIdentifier,
        /** Sequence number of the last heartbeat that the entry received on this link. */
        public val heartbeatEcho: Long,
        /** Remaining time in milliseconds until the deadline of the request. */
        public val budgetMilliseconds: Long,
        public val origin: RequestOrigin,
        public val call: UpstreamCall,
        /** Hash of the route and body, used to attribute upstream crashes to requests. */
        public val fingerprint: Long,
        /** Non-null if the call must run at most once. */
        public val idempotency: IdempotencyTerms? = null,
        /** Number of chunks that the sidecar may send before it must wait for [Credit]. */
        public val credit: Int = INITIAL_CREDIT,
        public val traceParent: String? = null,
    ) : AttemptMessage

    /** Sidecar to entry: delivers a part of the response. Sequence numbers start at 0 and have no gaps. */
    @Serializable
    @SerialName("chunk")
    public class AttemptChunk(
        override val attempt: AttemptIdentifier,
        public val sequence: Int,
        @ByteString public val bytes: ByteArray,
        /** Number of tokens in the chunk; 0 for a plain service. */
        public val tokens: Int = 0,
        /** Weight version that generated the tokens, or null if the engine did not report it. */
        public val version: WeightVersion? = null,
    ) : AttemptMessage

    /** Sidecar to entry: ends an attempt. */
    @Serializable
    @SerialName("end")
    public class AttemptEnd(
        override val attempt: AttemptIdentifier,
        public val verdict: Verdict,
        /** Number of chunks sent. The response is complete only if the entry has received all of them. */
        public val chunks: Int,
        /** HTTP status of the upstream, or 0 if it did not respond. */
        public val status: Int = 0,
        public val contentType: String = "",
        public val label: Label = Label(),
        public val load: LoadReport? = null,
        /** Time in milliseconds after which a refused request may be retried. */
        public val retryAfterMilliseconds: Long = 0,
    ) : AttemptMessage

    /** Entry to sidecar: cancels the attempt, as its response is no longer needed. */
    @Serializable
    @SerialName("cancel")
    public data class CancelAttempt(override val attempt: AttemptIdentifier) : AttemptMessage

    /** Entry to sidecar: grants flow-control credit for [frames] more chunks. */
    @Serializable
    @SerialName("credit")
    public data class Credit(
        override val attempt: AttemptIdentifier,
        public val frames: Int,
    ) : AttemptMessage

    public companion object {
        /** Maximum chunks in flight per stream: 64 chunks cover 20 ms of a fast stream at a link latency of 3 ms. */
        public const val INITIAL_CREDIT: Int = 64
    }
}

/** Origin of a request. */
@Serializable
public sealed interface RequestOrigin {
    /** Request of a live caller. */
    @Serializable
    @SerialName("live")
    public data class Live(public val caller: CallerName) : RequestOrigin

    /** Sample of a trainer. */
    @Serializable
    @SerialName("training")
    public data class Training(
        public val trainer: TrainerName,
        /** Share of engine time relative to other trainers. */
        public val weight: Int,
        /** Sample group within the trainer, such as `step/group`. */
        public val group: String,
        /** Number of unfinished samples of the group. */
        public val remainingInGroup: Int,
        /** Expected length of the response in tokens. */
        public val expectedTokens: Double,
    ) : RequestOrigin
}

/** HTTP request to the upstream. */
@Serializable
@OptIn(ExperimentalSerializationApi::class)
public class UpstreamCall(
    public val method: String,
    public val path: String,
    public val contentType: String,
    @ByteString public val body: ByteArray,
)

/** Idempotency key and body digest with which a call is claimed before it runs. */
@Serializable
public data class IdempotencyTerms(
    public val caller: CallerName,
    public val key: String,
    public val bodyDigest: String,
    /** Consensus group of the ledger that stores the key. */
    public val ledger: String,
)
