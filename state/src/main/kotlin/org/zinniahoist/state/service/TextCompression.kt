package org.zinniahoist.state.service

import java.io.ByteArrayOutputStream
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream

/** Compression of outputs of items. */
internal object TextCompression {
    fun pack(text: String): ByteArray = packBytes(text.encodeToByteArray())

    fun expand(packed: ByteArray): String = expandBytes(packed).decodeToString()

    fun packBytes(content: ByteArray): ByteArray {
        val bytes = ByteArrayOutputStream()
        DeflaterOutputStream(bytes).use { it.write(content) }
        return bytes.toByteArray()
    }

    fun expandBytes(packed: ByteArray): ByteArray = InflaterInputStream(packed.inputStream()).use { it.readBytes() }
}
