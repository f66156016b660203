package org.zinniahoist.standin.engine

/** Cache of prompt prefixes in blocks of [BLOCK_TOKENS] tokens, with eviction of the least recently used block. */
internal class PrefixCache(
    capacityTokens: Int,
    private val onEvent: (kind: String, block: Long) -> Unit,
) {
    private val capacityBlocks = capacityTokens / BLOCK_TOKENS
    private val blocks = LinkedHashSet<Long>()

    /** Adds the prompt of [stream] and the tokens to resume, and returns the number of tokens that were not cached. */
    @Synchronized
    fun prefill(stream: DecodeStream): Int {
        val tokens = tokensOf(stream.prompt)
        val chain = chainOf(stream.prompt)
        val cached = chain.takeWhile { it in blocks }.size
        chain.forEach { touch(it) }
        while (blocks.size > capacityBlocks) {
            val evicted = blocks.first()
            blocks.remove(evicted)
            onEvent("removed", evicted)
        }
        return tokens + stream.firstPosition - minOf(tokens, cached * BLOCK_TOKENS)
    }

    @Synchronized
    fun clear() = blocks.clear()

    private fun touch(block: Long) {
        val isNew = !blocks.remove(block)
        blocks.add(block)
        if (isNew) onEvent("stored", block)
    }

    companion object {
        const val BLOCK_TOKENS = 16
        private const val CHARACTERS_PER_TOKEN = 4
        private const val BLOCK_CHARACTERS = BLOCK_TOKENS * CHARACTERS_PER_TOKEN

        fun tokensOf(prompt: String): Int = (prompt.length + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN

        private fun chainOf(prompt: String): List<Long> = prompt
            .chunked(BLOCK_CHARACTERS)
            .filter { it.length == BLOCK_CHARACTERS }
            .runningFold(0L) { previous, block -> AnswerText.hash(previous, AnswerText.fingerprintOf(block), 0) }
            .drop(1)
    }
}
