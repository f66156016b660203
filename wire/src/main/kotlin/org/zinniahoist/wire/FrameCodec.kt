package org.zinniahoist.wire

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor

/** Encodes messages as CBOR. Ignores unknown keys, so that releases with the same protocol version interoperate. */
@OptIn(ExperimentalSerializationApi::class)
public object FrameCodec {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    // Cached, because each call of Message.serializer() rebuilds the table of all message types.
    private val serializer = Message.serializer()

    /** Size in bytes of the length prefix of a frame. */
    public const val PREFIX_BYTES: Int = 4

    /** Encodes [message] without a length prefix. */
    public fun encode(message: Message): ByteArray = cbor.encodeToByteArray(serializer, message)

    /** Decodes [bytes]. Returns [DecodedFrame.Damaged] for corrupt bytes and for unknown message types. */
    public fun decode(bytes: ByteArray): DecodedFrame = try {
        DecodedFrame.Whole(cbor.decodeFromByteArray(serializer, bytes))
    } catch (fault: Exception) {
        // The decoder throws exceptions of several types on corrupt input, including IndexOutOfBoundsException.
        DecodedFrame.Damaged(fault.message?.lineSequence()?.firstOrNull() ?: fault.javaClass.simpleName)
    } catch (_: StackOverflowError) {
        // The decoder recurses without bound on some corrupt byte strings. It is stateless, so catching is safe.
        DecodedFrame.Damaged("CBOR nesting exceeds the stack")
    }
}

/** Result of decoding a frame. */
public sealed interface DecodedFrame {
    /** The frame was decoded to [message]. */
    public data class Whole(public val message: Message) : DecodedFrame

    /** The frame is corrupt or contains a message type that this release does not know. */
    public data class Damaged(public val detail: String) : DecodedFrame
}
