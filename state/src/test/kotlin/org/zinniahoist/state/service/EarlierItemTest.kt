@file:OptIn(ExperimentalSerializationApi::class)

package org.zinniahoist.state.service

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.junit.jupiter.api.Test
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.state.StateCodec
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

internal class EarlierItemTest {
    /** Fields of an item as written before items had token counts. */
    @Serializable
    private class EarlierItem(
        val identifier: RequestIdentifier,
        val path: String,
        val headers: List<HeaderField>,
        @ByteString val body: ByteArray,
        val tokens: Int,
    )

    /** Guards against a replica that can't open a log or snapshot of an earlier version. */
    @Test
    fun `an item without token counts is decoded`() {
        val earlier = EarlierItem(RequestIdentifier("x"), "/p/", emptyList(), byteArrayOf(1), 940)
        val decoded = StateCodec.decode<BatchItem>(StateCodec.encode(earlier))
        expectThat(decoded.counts).isNull()
        expectThat(decoded.tokens).isEqualTo(940)
    }
}
