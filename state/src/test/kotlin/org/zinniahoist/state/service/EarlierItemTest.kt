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

    /** Fields of a job in a snapshot as written before failed runs were recorded. */
    @Serializable
    private class EarlierJob(
        val job: BatchJob,
        val submittedMilliseconds: Long,
        val isEnded: Boolean,
        val commands: List<ListingCommand>,
        val textParts: List<TextPart>,
    )

    /** Guards against a replica that can't open a snapshot of an earlier version. */
    @Test
    fun `a job without failed runs is decoded`() {
        val item = BatchItem(RequestIdentifier("x"), "/p/", emptyList(), byteArrayOf(1), 940)
        val job = BatchJob(JobIdentifier("j"), "h", "/p/", listOf(item))
        val earlier = EarlierJob(job, 1, isEnded = false, emptyList(), emptyList())
        val decoded = StateCodec.decode<JobSnapshot>(StateCodec.encode(earlier)).restore()
        expectThat(decoded.failures(item.identifier)).isEqualTo(ItemFailures(item.identifier))
    }

    /** Guards against a replica that can't open a log or snapshot of an earlier version. */
    @Test
    fun `an item without token counts is decoded`() {
        val earlier = EarlierItem(RequestIdentifier("x"), "/p/", emptyList(), byteArrayOf(1), 940)
        val decoded = StateCodec.decode<BatchItem>(StateCodec.encode(earlier))
        expectThat(decoded.counts).isNull()
        expectThat(decoded.tokens).isEqualTo(940)
    }
}
