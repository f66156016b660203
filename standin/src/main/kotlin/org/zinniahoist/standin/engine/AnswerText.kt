package org.zinniahoist.standin.engine

import com.dynatrace.hash4j.hashing.Hashing
import kotlin.math.pow

/**
 * The text that every [StandInEngine] generates for one prompt and seed.
 *
 * The first token names the prompt and the seed, each further token depends on its position, and the last one carries
 * the number of tokens, so that [AnswerCheck] finds a mixed-up, repeated or truncated answer without knowing the seed.
 */
public class AnswerText(
    prompt: String,
    public val seed: Long,
    maximumTokens: Int,
    lengths: LengthDistribution = LengthDistribution(),
) {
    /** Hash of the prompt. */
    public val fingerprint: Long = fingerprintOf(prompt)

    private val naturalTokens = lengths.draw(fingerprint, seed)

    /** Number of tokens of the whole answer. */
    public val tokens: Int = minOf(maximumTokens, naturalTokens).coerceAtLeast(1)

    /** Value of `finish_reason` in the last chunk. */
    public val finishReason: String = if (naturalTokens > tokens) "length" else "stop"

    /** Returns the token at [position], counted from 0. */
    public fun token(position: Int): String = tokenAt(fingerprint, seed, tokens, position)

    /** Returns the whole answer. */
    public fun text(): String = (0 until tokens).joinToString("") { token(it) }

    internal companion object {
        private const val WORD_LENGTH = 4
        private const val WORD_RADIX = 32

        fun fingerprintOf(prompt: String): Long = Hashing.komihash5_0().hashCharsToLong(prompt)

        fun hash(first: Long, second: Long, third: Long): Long =
            Hashing.komihash5_0().hashStream().putLong(first).putLong(second).putLong(third).asLong

        fun tokenAt(
            fingerprint: Long,
            seed: Long,
            tokens: Int,
            position: Int,
        ): String {
            val start = if (position == 0) "@${hexadecimal(fingerprint)}.${hexadecimal(seed)}" else ""
            return when {
                position == tokens - 1 -> "$start #$tokens.${word(hash(fingerprint, seed, -tokens.toLong()))}"
                position == 0 -> start
                else -> " ${word(hash(fingerprint, seed, position.toLong()))}"
            }
        }

        private fun hexadecimal(value: Long): String = java.lang.Long.toHexString(value)

        private fun word(hash: Long): String = java.lang.Long
            .toUnsignedString(hash, WORD_RADIX)
            .padStart(WORD_LENGTH, '0')
            .takeLast(WORD_LENGTH)
    }
}

/**
 * Pareto distribution of answer lengths: the prompt sets the scale between [minimumScale] and [maximumScale] tokens,
 * the seed draws the length, at most [maximumTokens]. A smaller [shape] gives a heavier tail.
 */
public data class LengthDistribution(
    public val minimumScale: Int = 16,
    public val maximumScale: Int = 64,
    public val shape: Double = 1.3,
    public val maximumTokens: Int = 4_096,
) {
    internal fun draw(fingerprint: Long, seed: Long): Int {
        val scale = minimumScale + unit(AnswerText.hash(fingerprint, 0, 1)) * (maximumScale - minimumScale)
        val uniform = 1.0 - unit(AnswerText.hash(fingerprint, seed, Long.MIN_VALUE))
        return (scale * uniform.pow(-1.0 / shape)).coerceIn(1.0, maximumTokens.toDouble()).toInt()
    }

    private fun unit(hash: Long): Double = (hash ushr UNUSED_BITS) / (1L shl Long.SIZE_BITS - UNUSED_BITS).toDouble()

    private companion object {
        private const val UNUSED_BITS = 11
    }
}
