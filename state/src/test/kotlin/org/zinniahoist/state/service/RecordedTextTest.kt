package org.zinniahoist.state.service

import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.state.StateCodec
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

internal class RecordedTextTest {
    private object NoOpListener : ServiceListener {
        override fun onConfiguration(configuration: StoredConfiguration) = Unit

        override fun onJob(record: JobRecord) = Unit

        override fun onResults(record: JobRecord) = Unit

        override fun onVersion(model: ModelName, version: WeightVersion) = Unit
    }

    private val machine = ServiceStateMachine(NoOpListener)
    private val job = JobIdentifier("j")
    private val item = RequestIdentifier("a")
    private var index = 0L

    private fun apply(command: ServiceCommand) {
        machine.apply(++index, 0, StateCodec.encode(command))
    }

    private fun record(
        text: Long,
        after: Long?,
        vararg events: String,
        item: RequestIdentifier = this.item,
    ) {
        val part = TextPart(item, text, after, (after ?: 0) + events.size, events.toList(), listOf(WeightVersion(1)))
        apply(ServiceCommand.RecordTexts(job, listOf(part)))
    }

    private fun recorded() = machine.job(job)?.text(item)

    @BeforeEach
    fun submit() {
        val items = listOf(BatchItem(item, "/p", emptyList(), byteArrayOf(1), 10))
        apply(ServiceCommand.SubmitJob(BatchJob(job, "h", "/p/", items)))
    }

    /** Guards against a text with a missing or duplicated event after a part was lost or delivered twice. */
    @Test
    fun `appends only a part that continues the recorded text`() {
        record(text = 1, after = null, "one", "two")
        record(text = 1, after = 2, "three\nmore")
        record(text = 1, after = 2, "three again")
        record(text = 1, after = 4, "five")
        expectThat(recorded()?.events()).isEqualTo(listOf("one", "two", "three\nmore"))
        expectThat(recorded()?.lastNumber).isEqualTo(3)
    }

    /** Guards against a text that mixes the events of two runs, after the text of the first run was discarded. */
    @Test
    fun `rejects events of another text, and replaces the text when a new one begins`() {
        record(text = 1, after = null, "one", "two")
        record(text = 2, after = 2, "three of another text")
        expectThat(recorded()?.events()).isEqualTo(listOf("one", "two"))
        record(text = 2, after = null, "another one")
        expectThat(recorded()?.events()).isEqualTo(listOf("another one"))
    }

    /** Guards against a memory leak by texts whose items are finished or unknown. */
    @Test
    fun `holds no text for a finished item or an item of another job`() {
        record(text = 1, after = null, "one", item = RequestIdentifier("of no item"))
        expectThat(machine.job(job)?.text(RequestIdentifier("of no item"))).isNull()
        record(text = 1, after = null, "one")
        apply(ServiceCommand.RecordResults(job, listOf(ItemResult(item, isCompleted = true, "one"))))
        expectThat(recorded()).isNull()
        record(text = 1, after = null, "late")
        expectThat(recorded()).isNull()
    }

    /** Guards against a complete text that a new leader generates again because its completion was not restored. */
    @Test
    fun `restores from a snapshot that a text is complete`() {
        record(text = 1, after = null, "one")
        expectThat(recorded()?.isComplete).isEqualTo(false)
        val last =
            TextPart(item, text = 1, after = 1, lastNumber = 1, emptyList(), listOf(WeightVersion(1)), isLast = true)
        apply(ServiceCommand.RecordTexts(job, listOf(last)))
        val restored = ServiceStateMachine(NoOpListener).apply { restore(machine.snapshot()) }
        expectThat(restored.job(job)?.text(item)?.isComplete).isEqualTo(true)
        expectThat(restored.job(job)?.text(item)?.events()).isEqualTo(listOf("one"))
    }

    /** Guards against a score that is lost with the leader that recorded it. */
    @Test
    fun `restores the score of a result from a snapshot`() {
        val result = ItemResult(item, isCompleted = true, "one", listOf(WeightVersion(1)), score = "stamp")
        apply(ServiceCommand.RecordResults(job, listOf(result)))
        val restored = ServiceStateMachine(NoOpListener).apply { restore(machine.snapshot()) }
        expectThat(restored.job(job)?.results?.single()?.whole()?.score).isEqualTo("stamp")
    }

    /** Guards against texts that are missing from a snapshot. */
    @Test
    fun `restores the texts from a snapshot`() {
        record(text = 1, after = null, "one")
        record(text = 1, after = 1, "two")
        val restored = ServiceStateMachine(NoOpListener).apply { restore(machine.snapshot()) }
        val text = restored.job(job)?.text(item)
        expectThat(text?.events()).isEqualTo(listOf("one", "two"))
        expectThat(text?.identifier).isEqualTo(1L)
        expectThat(text?.versions).isEqualTo(listOf(WeightVersion(1)))
    }
}
