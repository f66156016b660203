package org.zinniahoist.consensus

import arrow.core.getOrElse
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.zinniahoist.model.InstanceName
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds

/** Tests replicas that fail because of the disk or a command and recover without a process restart. */
internal class ReopenedReplicaTest {
    private val stores = List(3) { FaultyFileStore() }
    private val reports = LinkedBlockingQueue<String>()
    private var group: LocalGroup? = null

    private fun start(size: Int, stateMachine: () -> StateMachine = ::CountingMachine): LocalGroup {
        val options = ReplicaOptions(
            heartbeatInterval = 20.milliseconds,
            electionTimeout = 200.milliseconds,
            memberInstances = List(3) { InstanceName("n$it") }.toSet(),
        )
        return LocalGroup({ stores[it] }, size, options, reports::add, reopens = true, stateMachine).also { group = it }
    }

    @AfterEach
    fun close() {
        stores.forEach { it.heal() }
        group?.close()
    }

    private fun eventually(condition: () -> Boolean): Boolean {
        val end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10)
        while (System.nanoTime() < end && !condition()) Thread.sleep(5)
        return condition()
    }

    private fun LocalGroup.commit(): Long {
        while (true) {
            val answer = awaitLeader().propose(ByteArray(10)).join()
            if (answer.isRight()) return CountingMachine.decode(answer.getOrElse { error("$it") })
        }
    }

    /** Guards against a process that exits in a loop while its disk rejects writes. */
    @Test
    fun `a replica recovers when its disk accepts writes again`() {
        val group = start(size = 1)
        expectThat(group.commit()).isEqualTo(1)
        val host = group.awaitLeader()
        stores[0].freeBytes = 0
        expectThat(host.propose(ByteArray(1)).join()).isLeft().isA<GroupFailure.OutcomeUnknown>()
        expectThat(host.status.failure).isNotNull().contains("no space left")
        expectThat(host.propose(ByteArray(1)).join()).isLeft().isA<GroupFailure.Unavailable>()
        stores[0].freeBytes = Long.MAX_VALUE
        expectThat(eventually { host.status.isLeader }).isTrue()
        expectThat(host.status.failure).isNull()
        expectThat(group.commit()).isEqualTo(2)
        expectThat(reports).isEmpty()
    }

    /** Guards against a replica that acknowledges entries after others that it failed to write. */
    @Test
    fun `a replica whose disk rejects writes acknowledges nothing`() {
        val group = start(size = 3)
        group.commit()
        val leader = group.awaitLeader()
        val follower = group.hosts.values.first { !it.status.isLeader }
        val third = group.hosts.values.first { it != leader && it != follower }
        group.stop(third)
        stores[numberOf(follower)].freeBytes = 0
        val proposal = leader.propose(ByteArray(1))
        Thread.sleep(OBSERVATION_MS)
        expectThat(proposal.isDone && proposal.join().isRight()).isFalse()
        stores[numberOf(follower)].freeBytes = Long.MAX_VALUE
        group.commit()
        expectThat(reports).isEmpty()
    }

    /** Guards against a group without a leader for an election timeout after the leader's disk fails. */
    @Test
    fun `a leader whose disk rejects writes transfers the leadership and later follows`() {
        val group = start(size = 3)
        var expected = group.commit()
        val former = group.awaitLeader()
        stores[numberOf(former)].freeBytes = 0
        former.propose(ByteArray(1)).join()
        expectThat(former.status.isLeader).isFalse()
        expected = maxOf(expected + 1, group.commit())
        stores[numberOf(former)].freeBytes = Long.MAX_VALUE
        expectThat(eventually { former.status.failure == null && former.status.leader != null }).isTrue()
        val last = group.awaitLeader().status.commitIndex
        expectThat(eventually { former.status.commitIndex >= last }).isTrue()
        expectThat(group.commit() >= expected).isTrue()
    }

    /** Guards against two replicas that both report to be the leader while the disk of one hangs. */
    @Test
    fun `a replica whose disk hangs does not report to be the leader`() {
        val group = start(size = 1)
        group.commit()
        val host = group.awaitLeader()
        stores[0].hang = CountDownLatch(1)
        val proposal = host.propose(ByteArray(1))
        expectThat(eventually { !host.status.isLeader }).isTrue()
        expectThat(proposal.isDone).isFalse()
        stores[0].heal()
        expectThat(proposal.join().isRight()).isTrue()
        expectThat(eventually { host.status.isLeader }).isTrue()
    }

    /** Guards against a process that fails at each start because of one command in its log. */
    @Test
    fun `a command that can't be applied is retried with backoff from an empty state`() {
        val attempts = AtomicInteger()
        val stateMachine = FailingMachine(attempts, failures = 3)
        val group = start(size = 1) { stateMachine }
        expectThat(group.awaitLeader().propose(ByteArray(1)).join()).isLeft()
        Thread.sleep(OBSERVATION_MS)
        expectThat(attempts.get()).isLessThan(ATTEMPT_LIMIT)
        expectThat(eventually { group.hosts.values.single().status.isLeader }).isTrue()
        expectThat(group.commit()).isEqualTo(2)
        expectThat(reports).isEmpty()
    }

    /** Guards against a process that keeps running after a JVM error, with a heap that can't be trusted. */
    @Test
    fun `a JVM error is reported as a permanent failure`() {
        val group = start(size = 1) { FailingMachine(AtomicInteger(), failures = 1) { StackOverflowError("deep") } }
        expectThat(group.awaitLeader().propose(ByteArray(1)).join()).isLeft()
        expectThat(reports.poll(5, TimeUnit.SECONDS)).isNotNull().contains("deep")
    }

    private fun numberOf(host: GroupHost): Int = host.status.address.instance.value.removePrefix("n").toInt()

    /** Counting state machine whose first [failures] commands throw the result of [fault]. */
    private class FailingMachine(
        private val attempts: AtomicInteger,
        private val failures: Int,
        private val counting: CountingMachine = CountingMachine(),
        private val fault: () -> Throwable = { IllegalStateException("not applicable") },
    ) : StateMachine by counting {
        override fun apply(index: Long, timeMilliseconds: Long, command: ByteArray): ByteArray {
            val answer = counting.apply(index, timeMilliseconds, command)
            if (attempts.incrementAndGet() <= failures) throw fault()
            return answer
        }
    }

    /** In-memory disk with a capacity and hangs that another thread may control. */
    private class FaultyFileStore(private val files: MemoryFileStore = MemoryFileStore()) : FileStore by files {
        @Volatile
        var freeBytes = Long.MAX_VALUE

        @Volatile
        var hang: CountDownLatch? = null

        fun heal() {
            hang?.countDown()
            hang = null
            freeBytes = Long.MAX_VALUE
        }

        override fun append(name: String, bytes: ByteArray) {
            files.freeBytes = freeBytes
            files.append(name, bytes)
        }

        override fun sync(name: String) {
            hang?.await()
            files.sync(name)
        }
    }

    private companion object {
        const val OBSERVATION_MS = 1_000L

        /** With a backoff that doubles from 100 ms, four attempts fit into [OBSERVATION_MS]. */
        const val ATTEMPT_LIMIT = 6
    }
}
