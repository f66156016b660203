package org.zinniahoist.gateway.link

import java.io.ByteArrayOutputStream
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream

/** Compression of configurations, which repeat the same words and cross failure domains to every process. */
internal object DocumentCompression {
    fun compress(document: ByteArray): ByteArray {
        val bytes = ByteArrayOutputStream()
        DeflaterOutputStream(bytes).use { it.write(document) }
        return bytes.toByteArray()
    }

    fun expand(compressed: ByteArray): ByteArray = InflaterInputStream(compressed.inputStream()).use { it.readBytes() }
}
