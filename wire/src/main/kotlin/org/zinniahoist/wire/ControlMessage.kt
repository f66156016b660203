package org.zinniahoist.wire

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Revision

/** Messages exchanged with control replicas. */
@Serializable
@OptIn(ExperimentalSerializationApi::class)
public sealed interface ControlMessage : Message {
    /** Asks a consensus group to apply a command or to answer a query. */
    @Serializable
    @SerialName("control-call")
    public class ControlCall(
        public val identifier: Long,
        public val group: String,
        public val kind: CallKind,
        @ByteString public val content: ByteArray,
    ) : ControlMessage

    /** Answers a [ControlCall]. */
    @Serializable
    @SerialName("control-reply")
    public class ControlReply(
        public val identifier: Long,
        public val status: ReplyStatus,
        @ByteString public val content: ByteArray,
        /** The leader, if the replica is not the leader and knows it. */
        public val leader: InstanceName? = null,
    ) : ControlMessage

    /** Carries an encoded message between replicas of a consensus group. */
    @Serializable
    @SerialName("replica")
    public class ReplicaTraffic(
        public val group: String,
        @ByteString public val content: ByteArray,
    ) : ControlMessage

    /** Subscribes to changes of the settings and orders on a control replica. */
    @Serializable
    @SerialName("subscribe")
    public data class Subscribe(
        public val settings: Revision,
        /** Instance of the upstream whose orders are subscribed to, or null for none. */
        public val ordersFor: InstanceName? = null,
    ) : ControlMessage

    /** Delivers a change of the settings tree, encoded as the full tree or as a delta. */
    @Serializable
    @SerialName("settings-update")
    public class SettingsUpdate(
        public val revision: Revision,
        public val isDelta: Boolean,
        @ByteString public val content: ByteArray,
    ) : ControlMessage

    /** Instructs a subscriber to drain and stop. */
    @Serializable
    @SerialName("drain")
    public data class Drain(public val instance: InstanceName) : ControlMessage

    /** Delivers the orders for the subscriber's upstream, encoded as a list with their fencing tokens. */
    @Serializable
    @SerialName("orders-update")
    public class OrdersUpdate(
        public val revision: Revision,
        @ByteString public val content: ByteArray,
    ) : ControlMessage
}

/** Kind of a [ControlMessage.ControlCall]. */
@Serializable
public enum class CallKind { COMMAND, QUERY }

/** Outcome of a [ControlMessage.ControlCall]. */
@Serializable
public enum class ReplyStatus {
    /** The call was processed; the content is the response of the state machine. */
    ANSWERED,

    /** The call had no effect, because the replica is not the leader. */
    NOT_LEADER,

    /** The replica could not process the call, which had no effect. */
    UNAVAILABLE,

    /** The command may have been applied or may still be applied. */
    OUTCOME_UNKNOWN,
}
