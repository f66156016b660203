package org.zinniahoist.gateway.link

import java.io.ByteArrayOutputStream
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream

/** Compresses configurations, which are repetitive and are sent across failure domains to every process. */
internal object DocumentCompression {
    fun compress(document: ByteArray): ByteArray {
        val bytes = ByteArrayOutputStream()
        DeflaterOutputStream(bytes).use { it.write(document) }
        return bytes.toByteArray()
    }

    fun expand(compressed: ByteArray): ByteArray = InflaterInputStream(compressed.inputStream()).use { it.readBytes() }
}
