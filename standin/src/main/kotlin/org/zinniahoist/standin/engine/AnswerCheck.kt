package org.zinniahoist.standin.engine

/** Checks that a text is the whole answer of a [StandInEngine] to a given prompt. */
public object AnswerCheck {
    private val START = Regex("^@([0-9a-f]{1,16})\\.([0-9a-f]{1,16})")
    private val END = Regex(" #([0-9]{1,9})\\.[0-9a-v]{4}$")
    private const val HEXADECIMAL = 16

    /** Returns null if [text] is a whole answer to [prompt], otherwise the reason why it is not. */
    public fun problem(prompt: String, text: String, tokens: Int? = null): String? {
        val start = START.find(text) ?: return "the answer does not start with a fingerprint"
        val fingerprint = start.groupValues[1].toULong(HEXADECIMAL).toLong()
        val seed = start.groupValues[2].toULong(HEXADECIMAL).toLong()
        if (fingerprint != AnswerText.fingerprintOf(prompt)) return "the answer belongs to another prompt"
        val count = END.find(text)?.groupValues?.get(1)?.toInt() ?: return "the answer is truncated"
        val position = if (count in 1..text.length) firstDifference(text, fingerprint, seed, count) else 0
        return when {
            position != null -> "the answer differs at token $position of $count"
            tokens != null && tokens != count -> "the answer has $count tokens, but $tokens were reported"
            else -> null
        }
    }

    private fun firstDifference(
        text: String,
        fingerprint: Long,
        seed: Long,
        count: Int,
    ): Int? {
        var offset = 0
        for (position in 0 until count) {
            val token = AnswerText.tokenAt(fingerprint, seed, count, position)
            if (!text.startsWith(token, offset)) return position
            offset += token.length
        }
        return if (offset == text.length) null else count
    }
}
