package org.zinniahoist.standin.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Body of `POST /kv/export`. */
@Serializable
internal data class KvExportRequest(@SerialName("request_id") val requestIdentifier: String)

/** Answer of `POST /kv/export`. */
@Serializable
public data class KvExport(
    @SerialName("kv_handle") public val handle: String,
    public val tokens: Int,
    public val spans: List<VersionSpan>,
)

/** Contents of a handle. They are readable by each engine, so that one imports what another exported. */
internal data class KvHandle(
    val fingerprint: Long,
    val seed: Long,
    val tokens: Int,
) {
    /** Whether the handle was exported for [answer]. */
    fun belongsTo(answer: AnswerText): Boolean = fingerprint == answer.fingerprint && seed == answer.seed

    override fun toString(): String = "kv:$fingerprint:$seed:$tokens"

    companion object {
        private const val PARTS = 4

        fun parse(text: String): KvHandle? {
            val parts = text.split(':')
            if (parts.size != PARTS || parts[0] != "kv") return null
            val fingerprint = parts[1].toLongOrNull() ?: return null
            val seed = parts[2].toLongOrNull() ?: return null
            return parts[3].toIntOrNull()?.let { KvHandle(fingerprint, seed, it) }
        }
    }
}
