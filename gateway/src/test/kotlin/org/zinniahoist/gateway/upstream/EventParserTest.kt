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

    /** Guards against results that depend on chunk boundaries, including boundaries inside a character. */
    @Test
    fun `returns the same events for any chunk boundaries`() {
        val bytes = "id: 1\ndata: häuser€\n\nx-version: 7\nid: 2\ndata: b\n\n".encodeToByteArray()
        val events = bytes.flatMap { parser.feed(byteArrayOf(it)).orEmpty() }
        expectThat(events).containsExactly(
            StreamEvent(1, "häuser€", null),
            StreamEvent(2, "b", WeightVersion(7)),
        )
        expectThat(parser.hasPartialEvent).isFalse()
    }

    /** Guards against returning an incomplete event. */
    @Test
    fun `buffers an incomplete event`() {
        expectThat(parser.feed("id: 1\ndata: a".encodeToByteArray())?.size).isEqualTo(0)
        expectThat(parser.hasPartialEvent).isTrue()
    }

    /** Guards against an endless event that exhausts the heap. */
    @Test
    fun `rejects an event that is too long, complete or not`() {
        expectThrows<AnswerTooLongException> { parser.feed("id: 1\ndata: ${"a".repeat(64)}".encodeToByteArray()) }
        val other = EventParser("x-version", maximumLength = 64)
        expectThrows<AnswerTooLongException> { other.feed("data: ${"a".repeat(64)}\n\n".encodeToByteArray()) }
    }

    /** Guards against CPU time that is quadratic in the length of an event. */
    @Test
    fun `parses a long event in small chunks in linear time`() {
        val long = EventParser("x-version", maximumLength = LONG_EVENT)
        val chunk = "a".repeat(8).encodeToByteArray()
        assertTimeoutPreemptively(Duration.ofSeconds(10)) {
            repeat(LONG_EVENT / chunk.size) { long.feed(chunk) }
        }
        expectThat(long.hasPartialEvent).isTrue()
    }

    /** Guards against accepting corrupt bytes as text. */
    @Test
    fun `rejects malformed events`() {
        expectThat(parser.feed("nonsense\n\n".encodeToByteArray())).isNull()
    }

    private companion object {
        const val LONG_EVENT = 4 shl 20
    }
}
