package org.zinniahoist.state.service

import org.junit.jupiter.api.Test
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.Revision
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.state.StateCodec
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.concurrent.thread

internal class ServiceStateMachineTest {
    private object Silent : ServiceListener {
        override fun onConfiguration(configuration: StoredConfiguration) = Unit

        override fun onJob(record: JobRecord) = Unit

        override fun onResults(record: JobRecord) = Unit

        override fun onVersion(model: ModelName, version: WeightVersion) = Unit
    }

    private val machine = ServiceStateMachine(Silent)
    private var index = 0L

    private fun apply(command: ServiceCommand, time: Long = 0): ServiceAnswer =
        StateCodec.decode(machine.apply(++index, time, StateCodec.encode(command)))

    private fun configure(revision: Long, content: Int) =
        apply(ServiceCommand.AcceptConfiguration(Revision(revision), byteArrayOf(content.toByte())))

    private fun submit(name: String, time: Long = 0): ServiceAnswer {
        val job = BatchJob(JobIdentifier(name), "h", "/p/", listOf(item("a"), item("b")))
        return apply(ServiceCommand.SubmitJob(job), time)
    }

    private fun item(name: String) = BatchItem(RequestIdentifier(name), "/p", emptyList(), byteArrayOf(1), 10)

    private fun record(item: String, output: String) = apply(
        ServiceCommand.RecordResults(JobIdentifier("j"), listOf(ItemResult(RequestIdentifier(item), true, output))),
    )

    /** Guards against a replica that handles each result of its log as a change of the job when it starts. */
    @Test
    fun `tells of results apart from the begin and the end of a job`() {
        val told = ArrayList<String>()
        val listener = object : ServiceListener by Silent {
            override fun onJob(record: JobRecord) {
                told += if (record.isEnded) "ended" else "accepted"
            }

            override fun onResults(record: JobRecord) {
                told += "results ${record.results.size}"
            }
        }
        val job = BatchJob(JobIdentifier("j"), "h", "/p/", listOf(item("a"), item("b")))
        val machine = ServiceStateMachine(listener)
        val results = listOf("a", "b").map { ItemResult(RequestIdentifier(it), true, "text") }
        val commands = listOf(ServiceCommand.SubmitJob(job)) +
            results.map { ServiceCommand.RecordResults(job.identifier, listOf(it)) } +
            ServiceCommand.EndJob(job.identifier)
        commands.forEachIndexed { i, command ->
            machine.apply(i + 1L, 0, StateCodec.encode<ServiceCommand>(command))
        }
        expectThat(told).containsExactly("accepted", "results 1", "results 2", "ended")
    }

    /** Guards against an older or equal revision that replaces the one in force. */
    @Test
    fun `keeps the configuration with the highest revision and its first content`() {
        configure(7, content = 1)
        configure(7, content = 2)
        configure(6, content = 3)
        expectThat(machine.configuration?.revision).isEqualTo(Revision(7))
        expectThat(machine.configuration?.document?.single()).isEqualTo(1)
    }

    /** Guards against a result that changes its position or its content when it is recorded again. */
    @Test
    fun `lists each item once, at the position where it was listed first`() {
        submit("j")
        record("b", "first")
        record("b", "second")
        record("a", "third")
        record("x", "of no item")
        val job = machine.job(JobIdentifier("j"))
        expectThat(job?.results?.map { it.whole().output }).isEqualTo(listOf("first", "third"))
        expectThat(job!!.openItems()).hasSize(0)
    }

    /** Guards against a resent submission that empties a job. */
    @Test
    fun `accepts a job once`() {
        submit("j")
        record("a", "text")
        submit("j")
        expectThat(machine.job(JobIdentifier("j"))!!.results).hasSize(1)
        expectThat(apply(ServiceCommand.EndJob(JobIdentifier("j")))).isA<ServiceAnswer.Done>()
        expectThat(apply(ServiceCommand.EndJob(JobIdentifier("j")))).isA<ServiceAnswer.Done>()
        expectThat(apply(ServiceCommand.EndJob(JobIdentifier("k")))).isA<ServiceAnswer.UnknownJob>()
    }

    /** Guards against two leaders with equal fencing tokens. */
    @Test
    fun `draws larger fencing tokens each time`() {
        val first = apply(ServiceCommand.DrawFence("a")) as ServiceAnswer.Fence
        val second = apply(ServiceCommand.DrawFence("b")) as ServiceAnswer.Fence
        expectThat(first.token).isLessThan(second.token)
    }

    /** Guards against a replica that differs after it was restored from a snapshot. */
    @Test
    fun `is the same after a snapshot`() {
        configure(7, content = 1)
        submit("j")
        record("a", "text")
        apply(ServiceCommand.EndJob(JobIdentifier("j")))
        apply(ServiceCommand.NameVersion(ModelName("m"), WeightVersion(3)))
        apply(ServiceCommand.RetireInstance("store-1", InstanceName("10.0.0.1:1")))
        val restored = ServiceStateMachine(Silent).also { it.restore(machine.snapshot()) }
        expectThat(restored.configuration?.revision).isEqualTo(Revision(7))
        expectThat(restored.job(JobIdentifier("j"))!!.results.map { it.whole().output }).containsExactly("text")
        expectThat(restored.job(JobIdentifier("j"))!!.isEnded).isTrue()
        expectThat(restored.versions[ModelName("m")]).isEqualTo(WeightVersion(3))
        expectThat(restored.retirements.keys.toList()).containsExactly("store-1")
    }

    /** Guards against a replica that reads its log again on top of what it held before. */
    @Test
    fun `holds nothing after an empty state was restored`() {
        val empty = machine.snapshot()
        configure(7, 1)
        submit("j")
        apply(ServiceCommand.NameVersion(ModelName("m"), WeightVersion(3)))
        apply(ServiceCommand.RetireInstance("store-1", InstanceName("10.0.0.1:7000")))
        machine.restore(empty)
        expectThat(machine.configuration).isNull()
        expectThat(machine.jobs).isEmpty()
        expectThat(machine.versions.keys).isEmpty()
        expectThat(machine.retirements.keys).isEmpty()
    }

    /** Guards against a restored replica that lists an item a second time. */
    @Test
    fun `lists no item again after a snapshot`() {
        submit("j")
        record("a", "first")
        machine.restore(machine.snapshot())
        record("a", "second")
        record("b", "third")
        expectThat(
            machine.job(JobIdentifier("j"))!!.results.map {
                it.whole().output
            },
        ).containsExactly("first", "third")
    }

    /** Guards against a 404 for an accepted job that is read while a snapshot is restored. */
    @Test
    fun `keeps a job readable while it is restored`() {
        repeat(100) { submit("j$it") }
        val snapshot = machine.snapshot()
        var misses = 0
        val restoring = thread { repeat(200) { machine.restore(snapshot) } }
        while (restoring.isAlive) if (machine.job(JobIdentifier("j99")) == null) misses++
        expectThat(misses).isEqualTo(0)
    }

    /** Guards against a leader that runs out of memory because the log and the state hold each result as plain text. */
    @Test
    fun `holds the text of a result compressed`() {
        submit("j")
        val command = recordCommand(LONG_TEXT)
        machine.apply(++index, 0, command)
        expectThat(command.size).isLessThan(LONG_TEXT.length / 3)
        expectThat(machine.snapshot().size).isLessThan(LONG_TEXT.length / 3)
    }

    /** Guards against a leader that holds each result twice, in the log and in the state. */
    @Test
    fun `keeps the text of a result in the bytes of its command only`() {
        submit("j")
        val command = recordCommand(LONG_TEXT)
        machine.apply(++index, 0, command)
        val listed = machine.job(JobIdentifier("j"))!!.results.single()
        expectThat(listed.command === command).isTrue()
        expectThat(listed.whole().output).isEqualTo(LONG_TEXT)
    }

    private fun recordCommand(text: String): ByteArray {
        val result = ItemResult(RequestIdentifier("a"), true, text)
        return StateCodec.encode<ServiceCommand>(ServiceCommand.RecordResults(JobIdentifier("j"), listOf(result)))
    }

    /** Guards against results that are lost or doubled when a command lists several, some of them listed before. */
    @Test
    fun `keeps the results of commands with several after a snapshot`() {
        submit("j")
        record("a", "first")
        val results = listOf("a", "b").map { ItemResult(RequestIdentifier(it), true, "of $it") }
        apply(ServiceCommand.RecordResults(JobIdentifier("j"), results))
        val restored = ServiceStateMachine(Silent).also { it.restore(machine.snapshot()) }
        expectThat(restored.job(JobIdentifier("j"))!!.results.map { it.whole().output })
            .containsExactly("first", "of b")
    }

    /** Guards against a state that grows for ever. */
    @Test
    fun `forgets jobs after their retention`() {
        submit("j", time = 0)
        submit("k", time = ServiceStateMachine.DEFAULT_RETENTION.inWholeMilliseconds + 1)
        expectThat(machine.job(JobIdentifier("j"))).isNull()
        expectThat(machine.jobs).hasSize(1)
    }

    /** Guards against a leader whose heap fills with the results of jobs that nobody reads any more. */
    @Test
    fun `forgets an ended job when its results are no longer asked for`() {
        submit("j", time = 0)
        apply(ServiceCommand.EndJob(JobIdentifier("j")), time = 1)
        apply(ServiceCommand.EndJob(JobIdentifier("k")), time = 151_000)
        expectThat(machine.job(JobIdentifier("j"))).isNull()
    }

    /** Guards against a 404 for a job that its trainer may still read while the clocks of leaders differ. */
    @Test
    fun `keeps an ended job while its trainer may read it, and an open job longer`() {
        submit("j", time = 0)
        submit("open", time = 0)
        apply(ServiceCommand.EndJob(JobIdentifier("j")), time = 1)
        apply(ServiceCommand.EndJob(JobIdentifier("k")), time = 135_000)
        expectThat(machine.job(JobIdentifier("j"))).isNotNull()
        apply(ServiceCommand.EndJob(JobIdentifier("k")), time = 500_000)
        expectThat(machine.job(JobIdentifier("open"))).isNotNull()
    }

    private companion object {
        val LONG_TEXT = (1..600).joinToString("\n") { "event $it of a text" }
    }
}
