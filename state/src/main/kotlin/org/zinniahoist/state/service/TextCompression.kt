package org.zinniahoist.state.service

import java.io.ByteArrayOutputStream
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream

/** Compression of outputs of items. */
internal object TextCompression {
    fun pack(text: String): ByteArray {
        val bytes = ByteArrayOutputStream()
        DeflaterOutputStream(bytes).use { it.write(text.encodeToByteArray()) }
        return bytes.toByteArray()
    }

    fun expand(packed: ByteArray): String =
        InflaterInputStream(packed.inputStream()).use { it.readBytes() }.decodeToString()
}
