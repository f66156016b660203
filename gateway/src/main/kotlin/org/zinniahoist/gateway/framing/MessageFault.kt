package org.zinniahoist.gateway.framing

import java.io.IOException

/**
 * Reason why the head or the framing of a message can't be trusted. Another process on the way may understand such a
 * message differently, so nothing that follows it on its connection is read.
 *
 * @property status with which a request is refused.
 */
internal enum class MessageFault(val status: Int) {
    START_LINE(400),
    VERSION(505),
    METHOD(501),
    TARGET(400),
    FIELD(400),
    HOST(400),
    REPEATED_IDENTIFIER(400),
    LENGTH(400),
    LENGTH_AND_CODING(400),
    CODING(501),
    CHUNK(400),
    CHUNK_LINE_TOO_LONG(400),

    /** Bytes of an upstream while no request waits for a response. */
    UNEXPECTED(400),
    LINE_TOO_LONG(414),
    HEAD_TOO_LONG(431),
}

/** A message can't be read because of [fault]. */
internal class MessageFaultException(val fault: MessageFault) : IOException("malformed message: $fault")
