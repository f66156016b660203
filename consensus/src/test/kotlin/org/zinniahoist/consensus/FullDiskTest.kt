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

/** Groups whose disks are full for a while, one after another. */
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
        stores.forEach(::makeRoom)
        group.close()
    }

    /**
     * Guards against changes that stay refused or unanswered after each disk was full for a while, among them that of
     * the leader and that of the only other voter with all entries, in the middle of snapshots and of torn writes.
     */
    @ParameterizedTest
    @ValueSource(booleans = [false, true])
    fun `changes are accepted after all disks were full in turn`(isTorn: Boolean) {
        commit(count = 15)
        repeat(2) {
            val leader = numberOf(group.awaitLeader())
            ((leader until VOTERS) + (0 until leader)).forEach { number ->
                fill(stores[number], isTorn)
                commitFor(FULL_TIME)
                makeRoom(stores[number])
                commit(count = 12)
            }
        }
        expectThat(eventually { isConverged() }).describedAs("all replicas have all entries").isTrue()
        expectThat(reports).isEmpty()
    }

    /** Guards against a group that stays between two sets of members after a disk was full in the meantime. */
    @ParameterizedTest
    @ValueSource(booleans = [false, true])
    fun `a change of members ends after the disk of a voter was full`(isOnLeader: Boolean) {
        commit(count = 3)
        val leader = group.awaitLeader()
        val others = group.hosts.values.filter { it != leader }
        val full = if (isOnLeader) leader else others.first()
        // The two that remain are a majority only together, so that nothing is committed without the full disk.
        val removed = others.last().status.address.identifier
        fill(stores[numberOf(full)], isTorn = true)
        leader.changeMembership(MembershipChange.Remove(removed))
        commitFor(FULL_TIME)
        makeRoom(stores[numberOf(full)])
        commit(count = 12)
        val isSettled = eventually {
            val status = group.awaitLeader().status
            status.isConfigurationCommitted && status.configuration.previousVoters.isEmpty()
        }
        expectThat(isSettled).describedAs("the configuration is committed and not joint").isTrue()
        expectThat(reports).isEmpty()
    }

    /** Guards against files of a failed snapshot that keep the disk full, so that no write is ever tried again. */
    @Test
    fun `what a failed snapshot left makes room when the folder is opened again`() {
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

    private fun makeRoom(disk: LimitedFileStore) {
        disk.tearsAppends = false
        disk.capacity = Long.MAX_VALUE
    }

    private fun numberOf(host: GroupHost): Int = host.status.address.instance.value.removePrefix("n").toInt()

    /** Proposes for [time], whatever the answers are. */
    private fun commitFor(time: Duration) {
        val end = System.nanoTime() + time.inWholeNanoseconds
        while (System.nanoTime() < end) {
            val leader = group.hosts.values.find { it.status.isLeader } ?: continue
            leader.propose(ByteArray(COMMAND_BYTES)).completeOnTimeout(null, ANSWER_MS, TimeUnit.MILLISECONDS).join()
        }
    }

    /** Proposes until [count] changes are accepted, which takes [ACCEPTED_WITHIN] at most. */
    private fun commit(count: Int) {
        var accepted = 0
        val isAccepted = eventually {
            val leader = group.hosts.values.find { it.status.isLeader }
            val future = leader?.propose(ByteArray(COMMAND_BYTES))
            val answer = future?.completeOnTimeout(null, ANSWER_MS, TimeUnit.MILLISECONDS)?.join()
            if (answer?.isRight() == true) accepted++
            accepted >= count
        }
        expectThat(isAccepted).describedAs("$count changes are accepted").isTrue()
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

    /** A counting machine whose snapshots take several chunks. */
    private class LargeMachine(private val counting: CountingMachine = CountingMachine()) : StateMachine by counting {
        override fun snapshot(): ByteArray = counting.snapshot() + ByteArray(SNAPSHOT_BYTES)

        override fun restore(snapshot: ByteArray): Unit = counting.restore(snapshot)
    }

    private companion object {
        const val VOTERS = 3
        const val COMMAND_BYTES = 100
        const val SNAPSHOT_BYTES = 300_000
        const val ANSWER_MS = 500L

        /** Several elections, and several attempts to open the folder. */
        val FULL_TIME = 1.seconds

        /** Ten times the longest pause before a folder is opened again. */
        val ACCEPTED_WITHIN = 20.seconds
    }
}
