package org.zinniahoist.gateway.upstream

/** Body of a request, in pieces as they arrived, so that a long one is not copied to join them. */
internal class RequestBody(val pieces: List<ByteArray>) {
    /** Size of the body in bytes. */
    val size: Int = pieces.sumOf { it.size }

    /** Returns all pieces in one array, which is a copy if there are several. */
    fun toByteArray(): ByteArray {
        pieces.singleOrNull()?.let { return it }
        val bytes = ByteArray(size)
        var offset = 0
        for (piece in pieces) {
            piece.copyInto(bytes, offset)
            offset += piece.size
        }
        return bytes
    }

    companion object {
        /** Returns a body of one piece. */
        fun of(bytes: ByteArray): RequestBody = RequestBody(listOf(bytes))
    }
}
