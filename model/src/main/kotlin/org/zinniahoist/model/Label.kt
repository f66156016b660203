package org.zinniahoist.model

import kotlinx.serialization.Serializable

/** Sequence of [tokens] consecutive tokens that were generated with the weights of [version]. */
@Serializable
public data class TokenSpan(
    public val version: WeightVersion,
    public val tokens: Int,
)

/** Weight versions with which the tokens of a response were generated, in token order. */
@Serializable
public data class Label(public val spans: List<TokenSpan> = emptyList()) {
    /** Total number of tokens in all spans. */
    public val tokens: Int get() = spans.sumOf { it.tokens }

    /** The oldest version in the label, or null if the label is empty. */
    public val oldest: WeightVersion? get() = spans.minOfOrNull { it.version }

    /** Returns a copy with [tokens] tokens of [version] appended, merged into the last span if the version is equal. */
    public fun append(version: WeightVersion, tokens: Int): Label {
        if (tokens == 0) return this
        val last = spans.lastOrNull()
        return if (last != null && last.version == version) {
            Label(spans.dropLast(1) + last.copy(tokens = last.tokens + tokens))
        } else {
            Label(spans + TokenSpan(version, tokens))
        }
    }

    /** Returns how many versions the oldest version is behind [current], or 0 if the label is empty. */
    public fun staleness(current: WeightVersion): Long = oldest?.let { current.number - it.number } ?: 0L
}
