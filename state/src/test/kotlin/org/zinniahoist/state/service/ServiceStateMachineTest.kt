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
    private object NoOpListener : ServiceListener {
        override fun onConfiguration(configuration: StoredConfiguration) = Unit

        override fun onJob(record: JobRecord) = Unit

        override fun onResults(record: JobRecord) = Unit

        override fun onVersion(model: ModelName, version: WeightVersion) = Unit
    }

    private val machine = ServiceStateMachine(NoOpListener)
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

    /** Guards against a replica that handles each result as a change of the job while it replays its log at start. */
    @Test
    fun `notifies of results separately from the start and the end of a job`() {
        val notifications = ArrayList<String>()
        val listener = object : ServiceListener by NoOpListener {
            override fun onJob(record: JobRecord) {
                notifications += if (record.isEnded) "ended" else "accepted"
            }

            override fun onResults(record: JobRecord) {
                notifications += "results ${record.results.size}"
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
        expectThat(notifications).containsExactly("accepted", "results 1", "results 2", "ended")
    }

    /** Guards against an older or equal revision that replaces the accepted configuration. */
    @Test
    fun `keeps the configuration with the highest revision and its first content`() {
        configure(7, content = 1)
        configure(7, content = 2)
        configure(6, content = 3)
        expectThat(machine.configuration?.revision).isEqualTo(Revision(7))
        expectThat(machine.configuration?.document?.single()).isEqualTo(1)
    }

    /** Guards against a result that changes its position or content when its item is recorded again. */
    @Test
    fun `keeps the first result of each item at its position`() {
        submit("j")
        record("b", "first")
        record("b", "second")
        record("a", "third")
        record("x", "of no item")
        val job = machine.job(JobIdentifier("j"))
        expectThat(job?.results?.map { it.whole().output }).isEqualTo(listOf("first", "third"))
        expectThat(job!!.openItems()).hasSize(0)
    }

    /** Guards against a repeated submission that clears the results of a job. */
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

    /** Guards against two leaders with the same fencing token. */
    @Test
    fun `issues increasing fencing tokens`() {
        val first = apply(ServiceCommand.DrawFence("a")) as ServiceAnswer.Fence
        val second = apply(ServiceCommand.DrawFence("b")) as ServiceAnswer.Fence
        expectThat(first.token).isLessThan(second.token)
    }

    /** Guards against a replica that diverges after it was restored from a snapshot. */
    @Test
    fun `restores its state from a snapshot`() {
        configure(7, content = 1)
        submit("j")
        record("a", "text")
        apply(ServiceCommand.EndJob(JobIdentifier("j")))
        apply(ServiceCommand.NameVersion(ModelName("m"), WeightVersion(3)))
        apply(ServiceCommand.RetireInstance("store-1", InstanceName("10.0.0.1:1")))
        val restored = ServiceStateMachine(NoOpListener).also { it.restore(machine.snapshot()) }
        expectThat(restored.configuration?.revision).isEqualTo(Revision(7))
        expectThat(restored.job(JobIdentifier("j"))!!.results.map { it.whole().output }).containsExactly("text")
        expectThat(restored.job(JobIdentifier("j"))!!.isEnded).isTrue()
        expectThat(restored.versions[ModelName("m")]).isEqualTo(WeightVersion(3))
        expectThat(restored.retirements.keys.toList()).containsExactly("store-1")
    }

    /** Guards against failed runs that are forgotten by a restart, or counted twice by a command that is repeated. */
    @Test
    fun `keeps the largest numbers of failed runs over a snapshot`() {
        submit("j")
        val item = RequestIdentifier("a")
        listOf(
            ItemFailures(item, runs = 2),
            ItemFailures(item, rewardCalls = 1),
            ItemFailures(item, runs = 1),
        ).forEach {
            apply(ServiceCommand.RecordFailures(JobIdentifier("j"), listOf(it)))
        }
        val unknown = ItemFailures(RequestIdentifier("other"), runs = 1)
        apply(ServiceCommand.RecordFailures(JobIdentifier("j"), listOf(unknown)))
        val restored = ServiceStateMachine(NoOpListener).also { it.restore(machine.snapshot()) }
        val record = restored.job(JobIdentifier("j"))!!
        expectThat(record.failures(item)).isEqualTo(ItemFailures(item, runs = 2, rewardCalls = 1))
        expectThat(record.failures(unknown.item).runs).isEqualTo(0)
    }

    /** Guards against a replica that replays its log on top of its previous state. */
    @Test
    fun `is empty after it was restored from an empty snapshot`() {
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

    /** Guards against a restored replica that records a second result of an item. */
    @Test
    fun `records no second result of an item after a snapshot`() {
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

    /** Guards against a 404 response for an accepted job that is read during the restore of a snapshot. */
    @Test
    fun `keeps a job readable during a restore`() {
        repeat(100) { submit("j$it") }
        val snapshot = machine.snapshot()
        var misses = 0
        val restoring = thread { repeat(200) { machine.restore(snapshot) } }
        while (restoring.isAlive) if (machine.job(JobIdentifier("j99")) == null) misses++
        expectThat(misses).isEqualTo(0)
    }

    /** Guards against an out-of-memory error of a leader whose log and state hold each result uncompressed. */
    @Test
    fun `holds the output of a result compressed`() {
        submit("j")
        val command = recordCommand(LONG_TEXT)
        machine.apply(++index, 0, command)
        expectThat(command.size).isLessThan(LONG_TEXT.length / 3)
        expectThat(machine.snapshot().size).isLessThan(LONG_TEXT.length / 3)
    }

    /** Guards against a leader that holds each output twice, in the log and in the state. */
    @Test
    fun `shares the bytes of an output with the command that recorded it`() {
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

    /** Guards against lost or duplicated results if a command records several and some items already have one. */
    @Test
    fun `restores the results of commands with several results from a snapshot`() {
        submit("j")
        record("a", "first")
        val results = listOf("a", "b").map { ItemResult(RequestIdentifier(it), true, "of $it") }
        apply(ServiceCommand.RecordResults(JobIdentifier("j"), results))
        val restored = ServiceStateMachine(NoOpListener).also { it.restore(machine.snapshot()) }
        expectThat(restored.job(JobIdentifier("j"))!!.results.map { it.whole().output })
            .containsExactly("first", "of b")
    }

    /** Guards against unbounded growth of the state. */
    @Test
    fun `evicts jobs after their retention period`() {
        submit("j", time = 0)
        submit("k", time = ServiceStateMachine.DEFAULT_RETENTION.inWholeMilliseconds + 1)
        expectThat(machine.job(JobIdentifier("j"))).isNull()
        expectThat(machine.jobs).hasSize(1)
    }

    /** Guards against a leader whose heap fills with the results of ended jobs that are no longer read. */
    @Test
    fun `evicts an ended job after its shorter retention period`() {
        submit("j", time = 0)
        apply(ServiceCommand.EndJob(JobIdentifier("j")), time = 1)
        apply(ServiceCommand.EndJob(JobIdentifier("k")), time = 151_000)
        expectThat(machine.job(JobIdentifier("j"))).isNull()
    }

    /** Guards against a 404 response for a job that its trainer may still read, if the clocks of two leaders differ. */
    @Test
    fun `retains an ended job while its trainer may read it, and an open job longer`() {
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
