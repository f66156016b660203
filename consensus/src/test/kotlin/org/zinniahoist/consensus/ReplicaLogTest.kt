package org.zinniahoist.consensus

import org.junit.jupiter.api.Test
import org.zinniahoist.model.InstanceName
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class ReplicaLogTest {
    private val address = ReplicaAddress(ReplicaIdentifier(1), InstanceName("n1"))
    private val configuration = Configuration(listOf(Member(address, voter = true)))
    private val log =
        ReplicaLog(RecoveredState(address.identifier, HardState(1, null), snapshot = null, listOf(entry(1, bytes = 5))))

    private fun entry(index: Long, bytes: Int) =
        LogEntry(index, 1, 1, ByteArray(bytes), configuration.takeIf { index == 1L })

    private fun snapshot(index: Long, term: Long = 1) = Snapshot(index, term, 1, configuration, ByteArray(9))

    /** Guards against a size gauge that diverges from the content of the log. */
    @Test
    fun `counts the bytes of the commands in memory`() {
        (2L..6L).forEach { log.append(entry(it, bytes = 100)) }
        expectThat(log.commandBytes).isEqualTo(505)
        log.truncateFrom(6)
        expectThat(log.commandBytes).isEqualTo(405)
        log.compact(snapshot(3), trailingEntries = 1)
        expectThat(log.commandBytes).isEqualTo(300)
        log.install(snapshot(4))
        expectThat(log.commandBytes).isEqualTo(100)
        log.install(snapshot(9, term = 2))
        expectThat(log.commandBytes).isEqualTo(0)
    }
}
