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
import org.zinniahoist.model.WeightVersion

/** Command to the [ServiceStateMachine]. Each is idempotent, so that a resent order has one outcome. */
@Serializable
public sealed interface ServiceCommand {
    /** Stores a configuration unless one with the same or a higher revision is stored. */
    @Serializable
    @SerialName("configure")
    public class AcceptConfiguration(
        public val revision: Revision,
        /** The configuration as it was received, compressed. */
        @ByteString public val document: ByteArray,
    ) : ServiceCommand

    /** Names the newest weights of a model. */
    @Serializable
    @SerialName("name-version")
    public data class NameVersion(
        public val model: ModelName,
        public val version: WeightVersion,
    ) : ServiceCommand

    /** Accepts a job once. */
    @Serializable
    @SerialName("submit")
    public class SubmitJob(public val job: BatchJob) : ServiceCommand

    /** Lists results of a job after those that are listed; results of items that are listed are ignored. */
    @Serializable
    @SerialName("record")
    public class RecordResults(
        public val job: JobIdentifier,
        public val results: List<ItemResult>,
    ) : ServiceCommand

    /**
     * Records texts of items that are not finished, so that the next leader goes on after them. Parts that don't
     * follow what is recorded, and parts of items that are listed, are ignored.
     */
    @Serializable
    @SerialName("text")
    public class RecordTexts(
        public val job: JobIdentifier,
        public val parts: List<TextPart>,
    ) : ServiceCommand

    /** Ends a job; its listed results stay. */
    @Serializable
    @SerialName("end")
    public data class EndJob(public val job: JobIdentifier) : ServiceCommand

    /** Notes that the replica on [instance] is to give up its place. */
    @Serializable
    @SerialName("retire")
    public data class RetireInstance(
        /** Name by which the operator knows the machine. */
        public val node: String,
        public val instance: InstanceName,
    ) : ServiceCommand

    /** Draws a fencing token for [holder] that is larger than each drawn before. */
    @Serializable
    @SerialName("fence")
    public data class DrawFence(public val holder: String) : ServiceCommand
}

/** Answer to a [ServiceCommand]. */
@Serializable
public sealed interface ServiceAnswer {
    /** The command holds. */
    @Serializable
    @SerialName("done")
    public data object Done : ServiceAnswer

    /** The fencing token that was drawn. */
    @Serializable
    @SerialName("fence")
    public data class Fence(public val token: FencingToken) : ServiceAnswer

    /** No such job is kept. */
    @Serializable
    @SerialName("unknown-job")
    public data object UnknownJob : ServiceAnswer
}
