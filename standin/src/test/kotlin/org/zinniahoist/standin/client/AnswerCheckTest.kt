package org.zinniahoist.standin.client

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.zinniahoist.standin.engine.AnswerCheck
import org.zinniahoist.standin.engine.AnswerText
import org.zinniahoist.standin.engine.LengthDistribution
import org.zinniahoist.standin.engine.VersionSpan
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class AnswerCheckTest {
    private val answer = AnswerText("prompt", 11, 40)
    private val text = answer.text()

    @Nested
    inner class Checking {
        /** Guards against checks that accept a damaged answer. */
        @Test
        fun `finds mixed, cut, repeated and swapped answers`() {
            val other = AnswerText("prompt", 12, 40).text()
            val damaged =
                listOf(
                    text.dropLast(1),
                    text.drop(1),
                    text + text,
                    text.take(text.length / 2) + other.takeLast(other.length / 2),
                    text.replaceFirst(answer.token(3), ""),
                    text.replaceFirst(answer.token(3), answer.token(3) + answer.token(3)),
                    "",
                )
            expectThat(damaged.filter { AnswerCheck.problem("prompt", it) == null }).isEmpty()
            expectThat(AnswerCheck.problem("another prompt", text)).isNotNull()
            expectThat(AnswerCheck.problem("prompt", text, answer.tokens + 1)).isNotNull()
            expectThat(AnswerCheck.problem("prompt", text, answer.tokens)).isNull()
        }

        @Test
        fun `accepts an answer of one token`() {
            expectThat(AnswerCheck.problem("prompt", AnswerText("prompt", -4, 1).text(), 1)).isNull()
        }
    }

    @Nested
    inner class Lengths {
        /** Guards against a distribution without stragglers. */
        @Test
        fun `have a heavy tail`() {
            val lengths = (0L until 1_000L).map {
                AnswerText("prompt", it, 4_096, LengthDistribution()).tokens
            }.sorted()
            expectThat(lengths[990]).isGreaterThan(8 * lengths[500])
        }
    }

    @Nested
    inner class Tallying {
        private val tally = TrainerTally(stalenessBound = 2).apply {
            expect("t", 1, listOf(TrainerGroup("prompt", 2, 40)))
        }

        private fun sample(
            identifier: String = "t/1/0/0",
            spans: List<VersionSpan> = listOf(VersionSpan(5, answer.tokens)),
        ) = DeliveredSample(identifier, "a", text, answer.tokens, spans)

        /** Guards against counting a sample that is delivered again. */
        @Test
        fun `counts a sample once`() {
            repeat(2) { tally.add(sample(), 6) }
            expectThat(tally.samples to tally.redeliveries).isEqualTo(1 to 1)
            expectThat(tally.missing("t", 1)).isEqualTo(1)
            expectThat(tally.defects).isEmpty()
        }

        /** Guards against labels that miss tokens, samples of nobody and samples over the bound. */
        @Test
        fun `reports samples that break a promise`() {
            tally.add(sample("t/1/0/9"), 6)
            tally.add(sample("t/1/0/0", listOf(VersionSpan(5, answer.tokens - 1))), 6)
            tally.add(sample("t/1/0/1"), 8)
            tally.add(sample("t/1/0/1", listOf(VersionSpan(null, answer.tokens))), 6)
            expectThat(tally.defects.map { it.substringAfter(": ") }).isEqualTo(
                listOf(
                    "the sample was not asked for",
                    "the label does not cover all tokens",
                    "the sample is 3 versions old",
                    "a span has no version",
                ),
            )
        }
    }
}
