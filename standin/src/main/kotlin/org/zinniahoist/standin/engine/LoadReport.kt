package org.zinniahoist.standin.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Answer of `GET /load`. A version is null while it is unknown. */
@Serializable
public data class LoadReport(
    public val running: Int,
    public val waiting: Int,
    @SerialName("tokens_per_second") public val tokensPerSecond: Double,
    public val role: String,
    public val versions: Map<String, Long?>,
)
