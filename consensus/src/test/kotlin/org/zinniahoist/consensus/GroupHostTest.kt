package org.zinniahoist.consensus

import arrow.core.getOrElse
import org.junit.jupiter.api.Test
import org.zinniahoist.model.InstanceName
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

class GroupHostTest {
    private val stores = List(3) { MemoryFileStore() }
    private val instances = List(3) { InstanceName("n$it") }
    private val options =
        ReplicaOptions(
            heartbeatInterval = 20.milliseconds,
            electionTimeout = 200.milliseconds,
            snapshotInterval = 50,
            trailingEntries = 5,
            memberInstances = instances.toSet(),
        )

    private fun GroupAnswer.count(): Long = CountingMachine.decode(getOrElse { error(it.toString()) })

    /** Proposes until a command is committed. The count may include commands with an unknown outcome. */
    private fun LocalGroup.commit(): Long {
        while (true) {
            val answer = awaitLeader().propose(ByteArray(10)).join()
            if (answer.isRight()) return answer.count()
        }
    }

    /** Guards against losing acknowledged commands in a restart or a change of leader. */
    @Test
    fun `a group keeps its state when the leader is stopped and a disk is replaced`() {
        val group = LocalGroup({ stores[it] }, size = 3, options)
        var expected = 0L
        repeat(200) { expected = group.commit() }
        val leader = group.awaitLeader()
        group.stop(leader)
        expectThat(leader.propose(ByteArray(1)).join()).isLeft().isA<GroupFailure.Unavailable>()
        val number = instances.indexOf(leader.status.address.instance)
        expected = group.commit()
        stores[number].list().forEach { stores[number].delete(it) }
        val replaced = group.start(number).status.address.identifier
        while (!group.awaitLeader().status.configuration.isVoter(replaced)) expected = group.commit()
        expectThat(group.awaitLeader().query(ByteArray(0)).join().count() >= expected).isEqualTo(true)
        val follower = group.hosts.values.first { !it.status.isLeader }
        expectThat(follower.query(ByteArray(0)).join()).isLeft().isA<GroupFailure.NotLeader>()
        group.close()
    }

    /** Guards against a replica that acknowledges commands after its disk failed. */
    @Test
    fun `a failed sync stops the replica`() {
        val group = LocalGroup({ stores[it] }, size = 1, options)
        val host = group.awaitLeader()
        expectThat(host.propose(ByteArray(1)).join()).isRight()
        stores[0].failSyncs = true
        expectThat(host.propose(ByteArray(1)).join()).isLeft().isA<GroupFailure.OutcomeUnknown>()
        stores[0].failSyncs = false
        expectThat(host.propose(ByteArray(1)).join()).isLeft().isA<GroupFailure.Unavailable>()
        expectThat(host.status.failure).isNotNull()
    }

    /** Guards against a process that keeps running without its replica, which the group then lacks permanently. */
    @Test
    fun `a failed replica reports the cause and can be restarted`() {
        val reports = LinkedBlockingQueue<String>()
        val group = LocalGroup({ stores[it] }, size = 1, options, reports::add)
        expectThat(group.commit()).isEqualTo(1)
        stores[0].freeBytes = 0
        expectThat(group.awaitLeader().propose(ByteArray(1)).join()).isLeft().isA<GroupFailure.OutcomeUnknown>()
        expectThat(reports.poll(5, TimeUnit.SECONDS)).isNotNull().contains("no space left")
        stores[0].freeBytes = Long.MAX_VALUE
        group.start(0)
        expectThat(group.commit()).isEqualTo(2)
        group.close()
        expectThat(reports).isEmpty()
    }
}
