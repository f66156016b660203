@file:OptIn(ExperimentalSerializationApi::class)

package org.zinniahoist.state.service

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.zinniahoist.model.FencingToken
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Revision
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.model.WorkspaceName

/** Command to the [ServiceStateMachine]. Commands are idempotent, so that a retry has no further effect. */
@Serializable
public sealed interface ServiceCommand {
    /** Stores a configuration, unless the stored one has the same or a higher revision. */
    @Serializable
    @SerialName("configure")
    public class AcceptConfiguration(
        public val revision: Revision,
        /** The configuration as received, in compressed form. */
        @ByteString public val document: ByteArray,
    ) : ServiceCommand

    /** Sets the newest weight version of a model; a version that is not newer is ignored. */
    @Serializable
    @SerialName("name-version")
    public data class NameVersion(
        public val model: ModelName,
        public val version: WeightVersion,
    ) : ServiceCommand

    /** Submits a job, unless a job with its identifier is stored. */
    @Serializable
    @SerialName("submit")
    public class SubmitJob(public val job: BatchJob) : ServiceCommand

    /** Appends results to those of a job; a result is ignored if its item already has one. */
    @Serializable
    @SerialName("record")
    public class RecordResults(
        public val job: JobIdentifier,
        public val results: List<ItemResult>,
    ) : ServiceCommand

    /**
     * Records partial texts of unfinished items, so that the next leader resumes generation after them. A part is
     * ignored if it neither continues the recorded text nor begins a new one, or if its item has a result.
     */
    @Serializable
    @SerialName("text")
    public class RecordTexts(
        public val job: JobIdentifier,
        public val parts: List<TextPart>,
    ) : ServiceCommand

    /**
     * Records the failed runs of items, so that the limits of failed runs hold beyond the current leader. The numbers
     * are totals; those below the recorded ones have no effect.
     */
    @Serializable
    @SerialName("failures")
    public class RecordFailures(
        public val job: JobIdentifier,
        public val failures: List<ItemFailures>,
    ) : ServiceCommand

    /**
     * Removes the crashes of the requests in [completed], of which a run has completed since, and records [crashes]. A
     * crash is ignored if one of the same upstream is recorded for its request.
     */
    @Serializable
    @SerialName("crashes")
    public data class RecordCrashes(
        public val crashes: List<CrashReport>,
        /** Fingerprints of requests. */
        public val completed: List<Long>,
    ) : ServiceCommand

    /** Ends a job; its results stay readable until the job expires. */
    @Serializable
    @SerialName("end")
    public data class EndJob(public val job: JobIdentifier) : ServiceCommand

    /** Marks the replica on [instance] for removal from the consensus group. */
    @Serializable
    @SerialName("retire")
    public data class RetireInstance(
        /** The operator's name of the instance. */
        public val node: String,
        public val instance: InstanceName,
    ) : ServiceCommand

    /** Issues a fencing token to [holder] that is larger than all tokens issued before. */
    @Serializable
    @SerialName("fence")
    public data class DrawFence(public val holder: String) : ServiceCommand

    /** Closes a window of the usage reports with its final [counts], unless it or a later one is closed. */
    @Serializable
    @SerialName("close-usage")
    public data class CloseUsageWindow(
        public val window: Long,
        public val counts: Map<WorkspaceName, Long>,
    ) : ServiceCommand

    /** Forgets the counts of a closed window, because the platform has accepted them or they are too old. */
    @Serializable
    @SerialName("usage-reported")
    public data class UsageReported(public val window: Long) : ServiceCommand
}

/** A crash of [upstream] while it ran the request [fingerprint], [ageMilliseconds] before the command was proposed. */
@Serializable
public data class CrashReport(
    public val fingerprint: Long,
    public val upstream: UpstreamIdentity,
    public val ageMilliseconds: Long,
)

/** Answer to a [ServiceCommand]. */
@Serializable
public sealed interface ServiceAnswer {
    /** The command is applied. */
    @Serializable
    @SerialName("done")
    public data object Done : ServiceAnswer

    /** The issued fencing token. */
    @Serializable
    @SerialName("fence")
    public data class Fence(public val token: FencingToken) : ServiceAnswer

    /** The job was never submitted, has expired, or belongs to another workspace. */
    @Serializable
    @SerialName("unknown-job")
    public data object UnknownJob : ServiceAnswer
}
