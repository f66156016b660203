package org.zinniahoist.model

import kotlinx.serialization.Serializable

/** A run of [tokens] consecutive tokens that [version] produced. */
@Serializable
public data class TokenSpan(
    public val version: WeightVersion,
    public val tokens: Int,
)

/** The weight versions that produced an answer, in token order. */
@Serializable
public data class Label(public val spans: List<TokenSpan> = emptyList()) {
    /** Number of tokens that the label covers. */
    public val tokens: Int get() = spans.sumOf { it.tokens }

    /** The oldest version in the label, or null if the label is empty. */
    public val oldest: WeightVersion? get() = spans.minOfOrNull { it.version }

    /** Returns this label with [tokens] more tokens of [version] at its end. */
    public fun append(version: WeightVersion, tokens: Int): Label {
        if (tokens == 0) return this
        val last = spans.lastOrNull()
        return if (last != null && last.version == version) {
            Label(spans.dropLast(1) + last.copy(tokens = last.tokens + tokens))
        } else {
            Label(spans + TokenSpan(version, tokens))
        }
    }

    /** Returns the number of versions between [current] and the oldest version in the label. */
    public fun staleness(current: WeightVersion): Long = oldest?.let { current.number - it.number } ?: 0L
}
