package org.zinniahoist.wire

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.Revision

/** Traffic between entries and the replicas of the service group. */
@Serializable
@OptIn(ExperimentalSerializationApi::class)
public sealed interface ServiceMessage : Message {
    /** Asks a replica; each call has at most one [Reply]. */
    @Serializable
    @SerialName("service-call")
    public class Call(
        public val identifier: Long,
        public val call: ServiceCall,
        /** Time from the reading of the call for which its caller waits; null if the caller does not say. */
        public val patienceMilliseconds: Long? = null,
        /** Number of the caller's request. A later call of the same request on a link replaces the earlier ones. */
        public val request: Long? = null,
    ) : ServiceMessage

    /** Answers a [Call]. */
    @Serializable
    @SerialName("service-reply")
    public class Reply(
        public val identifier: Long,
        public val reply: ServiceReply,
    ) : ServiceMessage

    /** Names the replicas of the group. */
    @Serializable
    @SerialName("service-members")
    public data class Members(
        public val members: List<InstanceName>,
        public val leader: InstanceName?,
    ) : ServiceMessage

    /** Says which machine of the operator's list the sender runs on. */
    @Serializable
    @SerialName("service-machine")
    public data class Machine(public val node: String) : ServiceMessage

    /** The sender has applied a configuration. */
    @Serializable
    @SerialName("service-configured")
    public data class Configured(public val revision: Revision) : ServiceMessage

    /** The platform's list as the sender has just read it; null if it is the same as the last one sent. */
    @Serializable
    @SerialName("service-upstreams")
    public data class Upstreams(public val entries: List<ListedUpstream>?) : ServiceMessage
}

/** What a [ServiceMessage.Call] asks for. */
@Serializable
@OptIn(ExperimentalSerializationApi::class)
public sealed interface ServiceCall {
    /** The configuration that the replica has applied, if newer than [known]. */
    @Serializable
    @SerialName("applied-configuration")
    public data class AppliedConfiguration(public val known: Revision) : ServiceCall

    /** The newest configuration that was acknowledged, from the leader. */
    @Serializable
    @SerialName("newest-configuration")
    public data object NewestConfiguration : ServiceCall

    /** Accept a batch job; [body] is decoded by the leader. */
    @Serializable
    @SerialName("submit-job")
    public class SubmitJob(
        public val host: String,
        public val path: String,
        public val job: String,
        @ByteString public val body: ByteArray,
    ) : ServiceCall

    /** The results of a job from position [after] on, after a wait of [waitMilliseconds] if there is none yet. */
    @Serializable
    @SerialName("read-job")
    public data class ReadJob(
        public val job: String,
        public val after: Int,
        public val waitMilliseconds: Long,
        /** True if the caller takes [ServiceReply.Results] as well. */
        public val acceptsPacked: Boolean = false,
    ) : ServiceCall

    /** The body of an item. */
    @Serializable
    @SerialName("read-item")
    public data class ReadItem(
        public val job: String,
        public val item: String,
    ) : ServiceCall

    /** End a job. */
    @Serializable
    @SerialName("end-job")
    public data class EndJob(public val job: String) : ServiceCall
}

/** What a [ServiceMessage.Reply] answers. */
@Serializable
@OptIn(ExperimentalSerializationApi::class)
public sealed interface ServiceReply {
    /** A configuration as it was received, compressed. */
    @Serializable
    @SerialName("document")
    public class Document(
        public val revision: Revision,
        @ByteString public val content: ByteArray,
    ) : ServiceReply

    /** There is nothing to return, or the command holds. */
    @Serializable
    @SerialName("done")
    public data object Done : ServiceReply

    /** Bytes to pass on to the client. */
    @Serializable
    @SerialName("content")
    public class Content(@ByteString public val content: ByteArray) : ServiceReply

    /**
     * Results of a job with [total] items from position [after] on, as the log holds them: the replica that leads
     * expands none of them.
     */
    @Serializable
    @SerialName("results")
    public class Results(
        public val total: Int,
        public val after: Int,
        @ByteString public val content: ByteArray,
    ) : ServiceReply

    /** No such job, item or configuration. */
    @Serializable
    @SerialName("not-found")
    public data object NotFound : ServiceReply

    /** The request can't be understood. */
    @Serializable
    @SerialName("invalid")
    public data class Invalid(public val detail: String) : ServiceReply

    /** The call had no effect; [leader] leads, if known. */
    @Serializable
    @SerialName("not-leader")
    public data class NotLeader(public val leader: InstanceName?) : ServiceReply

    /** The call had no effect. */
    @Serializable
    @SerialName("unavailable")
    public data class Unavailable(public val detail: String) : ServiceReply

    /** The call may have had an effect or may still get one. */
    @Serializable
    @SerialName("unknown")
    public data class OutcomeUnknown(public val detail: String) : ServiceReply
}
