package org.zinniahoist.policy.sampling

/** Bounds the tokens that hedging throws away to a share of the delivered tokens. */
internal class HedgeBudget(private val share: Double) {
    private var delivered = 0L
    private var thrownAway = 0L
    private var reserved = 0.0

    fun onDelivered(tokens: Int) {
        delivered += tokens
    }

    fun onThrownAway(tokens: Int) {
        thrownAway += tokens
    }

    /** Sets [tokens] aside for a hedge, or returns false if they would exceed the budget. */
    fun reserve(tokens: Double): Boolean {
        if (thrownAway + reserved + tokens > share * delivered) return false
        reserved += tokens
        return true
    }

    fun release(tokens: Double) {
        reserved = (reserved - tokens).coerceAtLeast(0.0)
    }
}
