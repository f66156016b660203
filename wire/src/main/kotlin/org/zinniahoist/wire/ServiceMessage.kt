package org.zinniahoist.wire

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.Revision
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.model.WorkspaceName

/** Messages between entries and the replicas of the service group. */
@Serializable
@OptIn(ExperimentalSerializationApi::class)
public sealed interface ServiceMessage : Message {
    /** Sends a call to a replica, which answers with at most one [Reply]. */
    @Serializable
    @SerialName("service-call")
    public class Call(
        public val identifier: Long,
        public val call: ServiceCall,
        /** Time-out of the caller in milliseconds, counted from the receipt of the call; null if unspecified. */
        public val patienceMilliseconds: Long? = null,
        /** Number of the caller's request. A call supersedes earlier calls with the same number on the same link. */
        public val request: Long? = null,
    ) : ServiceMessage

    /** Answers a [Call]. */
    @Serializable
    @SerialName("service-reply")
    public class Reply(
        public val identifier: Long,
        public val reply: ServiceReply,
    ) : ServiceMessage

    /**
     * Announces the replicas of the group and its leader. Announcements of different replicas may arrive in any order.
     *
     * @property index position of the members in the log. A receiver ignores members with a smaller index than those it
     * knows.
     * @property term term of [leader]. A receiver ignores the leader of an earlier term.
     */
    @Serializable
    @SerialName("service-members")
    public data class Members(
        public val members: List<InstanceName>,
        public val leader: InstanceName?,
        public val index: Long = 0,
        public val term: Long = 0,
    ) : ServiceMessage

    /** Announces the machine of the operator's list on which the sender runs. */
    @Serializable
    @SerialName("service-machine")
    public data class Machine(public val node: String) : ServiceMessage

    /** Reports that the sender has applied a configuration. */
    @Serializable
    @SerialName("service-configured")
    public data class Configured(public val revision: Revision) : ServiceMessage

    /** Reports the platform's list of upstreams as last read by the sender; null if unchanged since the last report. */
    @Serializable
    @SerialName("service-upstreams")
    public data class Upstreams(public val entries: List<ListedUpstream>?) : ServiceMessage

    /** Reports requests that were in flight when an upstream crashed, and runs that cleared such requests. */
    @Serializable
    @SerialName("service-crashes")
    public data class Crashes(
        public val crashes: List<ReportedCrash>,
        public val completions: List<ReportedCompletion>,
    ) : ServiceMessage
}

/** A crash of [upstream], [ageMilliseconds] before the report was sent, while it ran the request [fingerprint]. */
@Serializable
public data class ReportedCrash(
    public val fingerprint: Long,
    public val upstream: UpstreamIdentity,
    public val ageMilliseconds: Long,
    /** True if the crash was read from the replicated state, so that its age is inexact. */
    public val isRestored: Boolean = false,
)

/** A completed run of the request [fingerprint], [ageMilliseconds] before the report was sent. */
@Serializable
public data class ReportedCompletion(
    public val fingerprint: Long,
    public val ageMilliseconds: Long,
)

/** Operation that a [ServiceMessage.Call] requests. */
@Serializable
@OptIn(ExperimentalSerializationApi::class)
public sealed interface ServiceCall {
    /** Requests the configuration that the replica has applied, if it is newer than [known]. */
    @Serializable
    @SerialName("applied-configuration")
    public data class AppliedConfiguration(public val known: Revision) : ServiceCall

    /** Requests the newest acknowledged configuration from the leader. */
    @Serializable
    @SerialName("newest-configuration")
    public data object NewestConfiguration : ServiceCall

    /** Submits a batch job, whose [body] the leader decodes. */
    @Serializable
    @SerialName("submit-job")
    public class SubmitJob(
        public val host: String,
        public val path: String,
        public val job: String,
        @ByteString public val body: ByteArray,
        public val access: JobAccess = JobAccess.Unrestricted,
    ) : ServiceCall

    /** Requests the results of a job from position [after] on, waiting up to [waitMilliseconds] if none exist yet. */
    @Serializable
    @SerialName("read-job")
    public data class ReadJob(
        public val job: String,
        public val after: Int,
        public val waitMilliseconds: Long,
        /** Whether the caller also accepts [ServiceReply.Results]. */
        public val acceptsPacked: Boolean = false,
        public val access: JobAccess = JobAccess.Unrestricted,
    ) : ServiceCall

    /** Requests the body of an item. */
    @Serializable
    @SerialName("read-item")
    public data class ReadItem(
        public val job: String,
        public val item: String,
        public val access: JobAccess = JobAccess.Unrestricted,
    ) : ServiceCall

    /** Ends a job. */
    @Serializable
    @SerialName("end-job")
    public data class EndJob(
        public val job: String,
        public val access: JobAccess = JobAccess.Unrestricted,
    ) : ServiceCall

    /**
     * Reports the requests that the entry [incarnation] has counted, by window and workspace: all of them since its
     * start, in each window that it does not know to be closed.
     */
    @Serializable
    @SerialName("report-usage")
    public data class ReportUsage(
        public val incarnation: Incarnation,
        public val windows: Map<Long, Map<WorkspaceName, Long>>,
        /** Time of all live requests since its start, by service whose number of upstreams is ordered. */
        public val busyMilliseconds: Map<ServiceName, Long> = emptyMap(),
    ) : ServiceCall
}

/** Jobs that a caller may access, as established by the process that received its request. */
@Serializable
public sealed interface JobAccess {
    /** All jobs, because the configuration has no workspaces. */
    @Serializable
    @SerialName("unrestricted")
    public data object Unrestricted : JobAccess

    /** Jobs without a workspace, because the caller has no key. */
    @Serializable
    @SerialName("anonymous")
    public data object Anonymous : JobAccess

    /** Jobs of [workspace] and those without one. */
    @Serializable
    @SerialName("member")
    public data class Member(public val workspace: WorkspaceName) : JobAccess
}

/** Result that a [ServiceMessage.Reply] returns. */
@Serializable
@OptIn(ExperimentalSerializationApi::class)
public sealed interface ServiceReply {
    /** Returns a configuration, compressed, in the form in which it was received. */
    @Serializable
    @SerialName("document")
    public class Document(
        public val revision: Revision,
        @ByteString public val content: ByteArray,
    ) : ServiceReply

    /** Acknowledges a command, or reports that there is no content to return. */
    @Serializable
    @SerialName("done")
    public data object Done : ServiceReply

    /** Returns bytes to forward to the client. */
    @Serializable
    @SerialName("content")
    public class Content(@ByteString public val content: ByteArray) : ServiceReply

    /**
     * Returns the results of a job with [total] items from position [after] on, in the compressed form stored in the
     * log, which saves the leader from decompressing them.
     */
    @Serializable
    @SerialName("results")
    public class Results(
        public val total: Int,
        public val after: Int,
        @ByteString public val content: ByteArray,
    ) : ServiceReply

    /** The job, item or configuration does not exist. */
    @Serializable
    @SerialName("not-found")
    public data object NotFound : ServiceReply

    /** The job belongs to a workspace and the caller has no key. */
    @Serializable
    @SerialName("unauthorized")
    public data object Unauthorized : ServiceReply

    /** The leader of [term] has received the counts of an entry; windows up to [newestClosed] are closed. */
    @Serializable
    @SerialName("usage-received")
    public data class UsageReceived(
        public val term: Long,
        public val newestClosed: Long?,
    ) : ServiceReply

    /** The request is malformed. */
    @Serializable
    @SerialName("invalid")
    public data class Invalid(public val detail: String) : ServiceReply

    /** The call had no effect, because the replica is not the leader; [leader] is the leader, if known. */
    @Serializable
    @SerialName("not-leader")
    public data class NotLeader(public val leader: InstanceName?) : ServiceReply

    /** The replica could not process the call, which had no effect. */
    @Serializable
    @SerialName("unavailable")
    public data class Unavailable(public val detail: String) : ServiceReply

    /** The call may have been applied or may still be applied. */
    @Serializable
    @SerialName("unknown")
    public data class OutcomeUnknown(public val detail: String) : ServiceReply
}
