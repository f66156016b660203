package org.zinniahoist.state.service

import kotlinx.serialization.Serializable
import org.junit.jupiter.api.Test
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.model.WorkspaceName
import org.zinniahoist.state.StateCodec
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

internal class UsageLedgerTest {
    private object NoOpListener : ServiceListener {
        override fun onConfiguration(configuration: StoredConfiguration) = Unit

        override fun onJob(record: JobRecord) = Unit

        override fun onResults(record: JobRecord) = Unit

        override fun onVersion(model: ModelName, version: WeightVersion) = Unit
    }

    private val machine = ServiceStateMachine(NoOpListener)

    private fun apply(command: ServiceCommand) = machine.apply(1, 0, StateCodec.encode(command))

    private fun close(window: Long, count: Long) =
        apply(ServiceCommand.CloseUsageWindow(window, mapOf(WorkspaceName("a") to count)))

    /** Guards against two reports of one window with different counts after a change of leader. */
    @Test
    fun `the first counts of a window stay, also after it was reported`() {
        close(7, 1)
        close(7, 2)
        close(6, 2)
        expectThat(machine.usage.unreported).isEqualTo(mapOf(7L to mapOf(WorkspaceName("a") to 1L)))
        apply(ServiceCommand.UsageReported(7))
        close(7, 2)
        expectThat(machine.usage.unreported).isEqualTo(emptyMap())
    }

    /** Guards against a replica that closes a window again, or loses its counts, after it restored a snapshot. */
    @Test
    fun `a snapshot holds the closed windows`() {
        val empty = machine.snapshot()
        close(7, 1)
        val restored = ServiceStateMachine(NoOpListener).also { it.restore(machine.snapshot()) }
        expectThat(restored.usage.newestClosed).isEqualTo(7)
        expectThat(restored.usage.unreported).isEqualTo(machine.usage.unreported)
        restored.restore(empty)
        expectThat(restored.usage.newestClosed).isNull()
    }

    /** The form of snapshots before usage was reported. */
    @Serializable
    private class EarlierSnapshot(
        val configuration: StoredConfiguration?,
        val versions: Map<ModelName, WeightVersion>,
        val jobs: List<JobSnapshot>,
        val retirements: List<Retirement>,
    )

    /** Guards against a core that can't read its disk after an upgrade. */
    @Test
    fun `a snapshot of an earlier version is restored`() {
        val versions = mapOf(ModelName("m") to WeightVersion(3))
        machine.restore(StateCodec.encode(EarlierSnapshot(null, versions, emptyList(), emptyList())))
        expectThat(machine.versions).isEqualTo(versions)
        expectThat(machine.usage.newestClosed).isNull()
    }
}
