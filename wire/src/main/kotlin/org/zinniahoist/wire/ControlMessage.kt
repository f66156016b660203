package org.zinniahoist.wire

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Revision

/** Traffic with control replicas. */
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

    /** A message between replicas of a consensus group, encoded by the sender. */
    @Serializable
    @SerialName("replica")
    public class ReplicaTraffic(
        public val group: String,
        @ByteString public val content: ByteArray,
    ) : ControlMessage

    /** Asks a control replica to send changes of the settings and orders from now on. */
    @Serializable
    @SerialName("subscribe")
    public data class Subscribe(
        public val settings: Revision,
        /** Upstream whose orders are wanted, or null. */
        public val ordersFor: InstanceName? = null,
    ) : ControlMessage

    /** A change of the settings tree, as an encoded tree or delta. */
    @Serializable
    @SerialName("settings-update")
    public class SettingsUpdate(
        public val revision: Revision,
        public val isDelta: Boolean,
        @ByteString public val content: ByteArray,
    ) : ControlMessage

    /** Tells a subscriber to stop gracefully. */
    @Serializable
    @SerialName("drain")
    public data class Drain(public val instance: InstanceName) : ControlMessage

    /** Orders with their fencing tokens for the subscriber's upstream, encoded as a list. */
    @Serializable
    @SerialName("orders-update")
    public class OrdersUpdate(
        public val revision: Revision,
        @ByteString public val content: ByteArray,
    ) : ControlMessage
}

/** What a [ControlMessage.ControlCall] asks for. */
@Serializable
public enum class CallKind { COMMAND, QUERY }

/** How a [ControlMessage.ControlCall] ended. */
@Serializable
public enum class ReplyStatus {
    /** The content is the state machine's answer. */
    ANSWERED,

    /** The call had no effect; another replica leads. */
    NOT_LEADER,

    /** The call had no effect. */
    UNAVAILABLE,

    /** The call may have had an effect or may still get one. */
    OUTCOME_UNKNOWN,
}
