package org.zinniahoist.model

import kotlinx.serialization.Serializable

/** Connection between two daemons, directed from the side that opened it to the side that accepted it. */
@Serializable
public data class Link(
    public val from: InstanceName,
    public val to: InstanceName,
    public val incarnation: Incarnation,
)
