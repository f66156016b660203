package org.zinniahoist.gateway.upstream

import org.junit.jupiter.api.Assertions.assertTimeoutPreemptively
import org.junit.jupiter.api.Test
import org.zinniahoist.model.WeightVersion
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.time.Duration

internal class EventParserTest {
    private val parser = EventParser("x-version", maximumLength = 64)

    /** Guards against text that depends on how the bytes are cut, in the middle of a character too. */
    @Test
    fun `gives the same events however the bytes are cut`() {
        val bytes = "id: 1\ndata: häuser€\n\nx-version: 7\nid: 2\ndata: b\n\n".encodeToByteArray()
        val events = bytes.flatMap { parser.feed(byteArrayOf(it)).orEmpty() }
        expectThat(events).containsExactly(
            StreamEvent(1, "häuser€", null),
            StreamEvent(2, "b", WeightVersion(7)),
        )
        expectThat(parser.hasRest).isFalse()
    }

    /** Guards against half an event that counts as a whole one. */
    @Test
    fun `holds back an event without its end`() {
        expectThat(parser.feed("id: 1\ndata: a".encodeToByteArray())?.size).isEqualTo(0)
        expectThat(parser.hasRest).isTrue()
    }

    /** Guards against a process whose memory fills with an event that has no end. */
    @Test
    fun `refuses an event that is too long, with and without its end`() {
        expectThrows<AnswerTooLongException> { parser.feed("id: 1\ndata: ${"a".repeat(64)}".encodeToByteArray()) }
        val other = EventParser("x-version", maximumLength = 64)
        expectThrows<AnswerTooLongException> { other.feed("data: ${"a".repeat(64)}\n\n".encodeToByteArray()) }
    }

    /** Guards against processor time that grows with the square of an event's length. */
    @Test
    fun `takes a long event in small pieces in linear time`() {
        val long = EventParser("x-version", maximumLength = LONG_EVENT)
        val piece = "a".repeat(8).encodeToByteArray()
        assertTimeoutPreemptively(Duration.ofSeconds(10)) {
            repeat(LONG_EVENT / piece.size) { long.feed(piece) }
        }
        expectThat(long.hasRest).isTrue()
    }

    /** Guards against spoilt bytes that are taken for text. */
    @Test
    fun `refuses bytes that are no event`() {
        expectThat(parser.feed("nonsense\n\n".encodeToByteArray())).isNull()
    }

    private companion object {
        const val LONG_EVENT = 4 shl 20
    }
}
