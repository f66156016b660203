package org.zinniahoist.wire

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor

/** CBOR form of messages. Unknown keys are ignored, so that two releases with one protocol version can talk. */
@OptIn(ExperimentalSerializationApi::class)
public object FrameCodec {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    // Message.serializer() builds the table of all messages anew at each call.
    private val serializer = Message.serializer()

    /** Bytes of the length in front of each frame. */
    public const val PREFIX_BYTES: Int = 4

    /** Encodes [message] without the length in front of it. */
    public fun encode(message: Message): ByteArray = cbor.encodeToByteArray(serializer, message)

    /** Decodes [bytes]. Damaged bytes and messages of an unknown kind give [DecodedFrame.Damaged]. */
    public fun decode(bytes: ByteArray): DecodedFrame = try {
        DecodedFrame.Whole(cbor.decodeFromByteArray(serializer, bytes))
    } catch (fault: Exception) {
        // The decoder reports damage by exceptions of several types, index errors among them.
        DecodedFrame.Damaged(fault.message?.lineSequence()?.firstOrNull() ?: fault.javaClass.simpleName)
    } catch (_: StackOverflowError) {
        // The decoder calls itself without a bound on some damaged byte strings. It holds no state to be left broken.
        DecodedFrame.Damaged("nesting without end")
    }
}

/** Result of decoding a frame. */
public sealed interface DecodedFrame {
    /** The frame holds [message]. */
    public data class Whole(public val message: Message) : DecodedFrame

    /** The frame holds no message that this release knows. */
    public data class Damaged(public val detail: String) : DecodedFrame
}
