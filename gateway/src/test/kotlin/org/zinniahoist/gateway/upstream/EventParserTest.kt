package org.zinniahoist.gateway.upstream

import org.junit.jupiter.api.Test
import org.zinniahoist.model.WeightVersion
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

internal class EventParserTest {
    private val parser = EventParser("x-version")

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

    /** Guards against spoilt bytes that are taken for text. */
    @Test
    fun `refuses bytes that are no event`() {
        expectThat(parser.feed("nonsense\n\n".encodeToByteArray())).isNull()
    }
}
