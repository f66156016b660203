package org.zinniahoist.policy.sampling

/** Denies hedges while the discarded tokens exceed a share of the delivered tokens. */
internal class HedgeBudget(private val share: Double) {
    private var delivered = 0L
    private var discarded = 0L
    private var reserved = 0.0

    fun onDelivered(tokens: Int) {
        delivered += tokens
    }

    fun onDiscarded(tokens: Int) {
        discarded += tokens
    }

    /** Reserves [tokens] for a hedge, or returns false if they would exceed the budget. */
    fun reserve(tokens: Double): Boolean {
        if (discarded + reserved + tokens > share * delivered) return false
        reserved += tokens
        return true
    }

    fun release(tokens: Double) {
        reserved = (reserved - tokens).coerceAtLeast(0.0)
    }
}
