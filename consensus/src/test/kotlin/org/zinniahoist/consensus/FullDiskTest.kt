package org.zinniahoist.consensus

import arrow.core.getOrElse
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.zinniahoist.model.InstanceName
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isTrue
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests groups whose disks become full and free again, one after another. */
internal class FullDiskTest {
    private val stores = List(VOTERS) { LimitedFileStore() }
    private val reports = LinkedBlockingQueue<String>()
    private val options = ReplicaOptions(
        heartbeatInterval = 20.milliseconds,
        electionTimeout = 200.milliseconds,
        snapshotInterval = 10,
        trailingEntries = 3,
        memberInstances = List(VOTERS) { InstanceName("n$it") }.toSet(),
    )
    private val group = LocalGroup({ stores[it] }, VOTERS, options, reports::add, reopens = true) { LargeMachine() }

    @AfterEach
    fun close() {
        stores.forEach(::freeSpace)
        group.close()
    }

    /**
     * Guards against a group that keeps rejecting or ignoring proposals after each disk in turn was full, including the
     * leader's and that of the only other up-to-date voter, during snapshots and with torn writes.
     */
    @ParameterizedTest
    @ValueSource(booleans = [false, true])
    fun `proposals are accepted after each disk in turn was full`(isTorn: Boolean) {
        commit(count = 15)
        repeat(2) {
            val leader = numberOf(group.awaitLeader())
            ((leader until VOTERS) + (0 until leader)).forEach { number ->
                fill(stores[number], isTorn)
                proposeFor(FULL_TIME)
                freeSpace(stores[number])
                commit(count = 12)
            }
        }
        expectThat(eventually { isConverged() }).describedAs("all replicas hold all committed entries").isTrue()
        expectThat(reports).isEmpty()
    }

    /** Guards against a configuration that remains joint or uncommitted after a disk was full during the change. */
    @ParameterizedTest
    @ValueSource(booleans = [false, true])
    fun `a membership change completes after the disk of a voter was full`(isOnLeader: Boolean) {
        commit(count = 3)
        val leader = group.awaitLeader()
        val others = group.hosts.values.filter { it != leader }
        val full = if (isOnLeader) leader else others.first()
        // The two remaining voters are a majority only together, so nothing is committed without the full disk.
        val removed = others.last().status.address.identifier
        fill(stores[numberOf(full)], isTorn = true)
        leader.changeMembership(MembershipChange.Remove(removed))
        proposeFor(FULL_TIME)
        freeSpace(stores[numberOf(full)])
        commit(count = 12)
        val isSettled = eventually {
            val status = group.awaitLeader().status
            status.isConfigurationCommitted && status.configuration.previousVoters.isEmpty()
        }
        expectThat(isSettled).describedAs("the configuration is committed and not joint").isTrue()
        expectThat(reports).isEmpty()
    }

    /** Guards against remains of a failed snapshot that keep the disk full, so that the folder is never reopened. */
    @Test
    fun `remains of a failed snapshot are deleted when the folder is reopened`() {
        val disk = LimitedFileStore()
        val identifier = ReplicaIdentifier(7)
        val storage = GroupStorage.open(disk, identifier).getOrElse { error(it.message) }.storage
        val entry = LogEntry(1, 1, 1, ByteArray(10), null)
        val first = ReplicaAction.Persist(1, HardState(1, identifier), null, 1, listOf(entry))
        expectThat(storage.write(listOf(first))).isRight()
        disk.capacity = disk.used + SNAPSHOT_BYTES / 2
        val snapshot = Snapshot(1, 1, 1, Configuration.EMPTY, ByteArray(SNAPSHOT_BYTES))
        expectThat(storage.saveSnapshot(snapshot)).isLeft()

        val reopened = GroupStorage.open(disk, identifier, isAfterFailure = true)
        expectThat(reopened).isRight()
        val second = ReplicaAction.Persist(2, null, null, null, listOf(LogEntry(2, 1, 1, ByteArray(10), null)))
        expectThat(reopened.getOrElse { error(it.message) }.storage.write(listOf(second))).isRight()
    }

    private fun fill(disk: LimitedFileStore, isTorn: Boolean) {
        if (isTorn) disk.tearsAppends = true else disk.capacity = 0
    }

    private fun freeSpace(disk: LimitedFileStore) {
        disk.tearsAppends = false
        disk.capacity = Long.MAX_VALUE
    }

    private fun numberOf(host: GroupHost): Int = host.status.address.instance.value.removePrefix("n").toInt()

    /** Proposes commands for [time], ignoring the answers. */
    private fun proposeFor(time: Duration) {
        val end = System.nanoTime() + time.inWholeNanoseconds
        while (System.nanoTime() < end) {
            val leader = group.hosts.values.find { it.status.isLeader } ?: continue
            leader.propose(ByteArray(COMMAND_BYTES)).completeOnTimeout(null, ANSWER_MS, TimeUnit.MILLISECONDS).join()
        }
    }

    /** Proposes until [count] commands are accepted, and fails after [ACCEPTED_WITHIN]. */
    private fun commit(count: Int) {
        var accepted = 0
        val isAccepted = eventually {
            val leader = group.hosts.values.find { it.status.isLeader }
            val future = leader?.propose(ByteArray(COMMAND_BYTES))
            val answer = future?.completeOnTimeout(null, ANSWER_MS, TimeUnit.MILLISECONDS)?.join()
            if (answer?.isRight() == true) accepted++
            accepted >= count
        }
        expectThat(isAccepted).describedAs("$count commands are accepted").isTrue()
    }

    private fun isConverged(): Boolean {
        val last = group.awaitLeader().status.commitIndex
        return group.hosts.values.all { it.status.failure == null && it.status.commitIndex >= last }
    }

    private fun eventually(condition: () -> Boolean): Boolean {
        val end = System.nanoTime() + ACCEPTED_WITHIN.inWholeNanoseconds
        while (System.nanoTime() < end) if (condition()) return true
        return condition()
    }

    /** Counting state machine with large snapshots. */
    private class LargeMachine(private val counting: CountingMachine = CountingMachine()) : StateMachine by counting {
        override fun snapshot(): ByteArray = counting.snapshot() + ByteArray(SNAPSHOT_BYTES)

        override fun restore(snapshot: ByteArray): Unit = counting.restore(snapshot)
    }

    private companion object {
        const val VOTERS = 3
        const val COMMAND_BYTES = 100
        const val SNAPSHOT_BYTES = 300_000
        const val ANSWER_MS = 500L

        /** Long enough for several elections and several attempts to reopen the folder. */
        val FULL_TIME = 1.seconds

        /** Ten times the maximum backoff before a folder is reopened. */
        val ACCEPTED_WITHIN = 20.seconds
    }
}
