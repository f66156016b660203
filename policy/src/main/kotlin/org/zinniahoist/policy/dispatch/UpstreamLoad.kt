package org.zinniahoist.policy.dispatch

/** Tokens of the runs of this process on one upstream. */
internal class UpstreamLoad {
    /** Expected tokens that the runs hold in the memory of the upstream when they are complete. */
    var heldTokens = 0L

    /** Tokens of the runs that have no event yet. The upstream has to read them before it emits the first one. */
    var pendingPrefill = 0L

    /** Removes all runs. */
    fun clear() {
        heldTokens = 0
        pendingPrefill = 0
    }
}

/**
 * Tokens of one run, counted in the [load] of its upstream from its start until [end].
 *
 * @property prefill prompt and recorded text, which the upstream reads before the first event.
 */
internal class RunTokens(
    private val load: UpstreamLoad,
    work: ItemWork,
    textEvents: Int,
) {
    private val prompt = work.promptTokens
    private val expectedOutput = work.expectedOutput
    private val maximumOutput = work.maximumOutput ?: Int.MAX_VALUE
    private val prefill = if (prompt > 0) prompt + textEvents else 0
    private var held = heldWith(textEvents)
    private var isPending = true

    init {
        load.heldTokens += held
        load.pendingPrefill += prefill
    }

    /** Updates the load after an event that extended the text of the item to [textEvents] events. */
    fun onEvent(textEvents: Int) {
        endPrefill()
        val present = heldWith(textEvents)
        load.heldTokens += present - held
        held = present
    }

    /** Removes the run from the load. */
    fun end() {
        endPrefill()
        load.heldTokens -= held
    }

    /**
     * A text that is longer than expected is assumed to grow by a quarter more, because the estimates of clients are
     * accurate only at the median.
     */
    private fun heldWith(textEvents: Int): Int {
        val longer = (textEvents + textEvents / 4).coerceAtMost(maximumOutput)
        return prompt + maxOf(expectedOutput, longer, textEvents)
    }

    private fun endPrefill() {
        if (!isPending) return
        isPending = false
        load.pendingPrefill -= prefill
    }
}
