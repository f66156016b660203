package org.zinniahoist.state.service

import java.io.ByteArrayOutputStream
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream

/** Compresses the outputs of items with deflate. */
internal object TextCompression {
    fun compress(text: String): ByteArray = compressBytes(text.encodeToByteArray())

    fun decompress(compressed: ByteArray): String = decompressBytes(compressed).decodeToString()

    fun compressBytes(content: ByteArray): ByteArray {
        val bytes = ByteArrayOutputStream()
        DeflaterOutputStream(bytes).use { it.write(content) }
        return bytes.toByteArray()
    }

    fun decompressBytes(compressed: ByteArray): ByteArray =
        InflaterInputStream(compressed.inputStream()).use { it.readBytes() }
}
