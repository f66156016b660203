package org.zinniahoist.gateway.core

import arrow.core.getOrElse
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.zinniahoist.consensus.Configuration
import org.zinniahoist.consensus.DiskFileStore
import org.zinniahoist.consensus.GroupHost
import org.zinniahoist.consensus.GroupStorage
import org.zinniahoist.consensus.Member
import org.zinniahoist.consensus.ReplicaAddress
import org.zinniahoist.consensus.ReplicaIdentifier
import org.zinniahoist.consensus.ReplicaMessage
import org.zinniahoist.consensus.ReplicaMessageContent
import org.zinniahoist.consensus.ReplicaOptions
import org.zinniahoist.consensus.StateMachine
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.seconds

/** Tests the retirement of a voter in a group of three voters and one spare. */
class RetirementsTest {
    @TempDir
    lateinit var folder: Path

    private val instances = List(4) { InstanceName("n$it") }
    private val hosts = ConcurrentHashMap<InstanceName, GroupHost>()
    private val options = ReplicaOptions(acceptsUnknownInstances = true, targetVoters = 3)

    /** While set, drops all append requests with a final configuration that excludes this instance. */
    @Volatile
    private var blocked: InstanceName? = null

    @AfterEach
    fun close(): Unit = hosts.values.forEach { it.close() }

    private fun start(number: Int) {
        val files = DiskFileStore(folder.resolve("$number"))
        val identifier = ReplicaIdentifier(number + 1L)
        val voters = instances.take(3).mapIndexed { i, name ->
            Member(ReplicaAddress(ReplicaIdentifier(i + 1L), name), voter = true)
        }
        if (number < voters.size) GroupStorage.bootstrap(files, identifier, Configuration(voters), 0)
        val opened = GroupStorage.open(files, identifier).getOrElse { error(it.message) }
        val host = GroupHost("test", instances[number], Nothing, opened, ::deliver, options)
        host.introduce(instances.toSet())
        hosts[instances[number]] = host
    }

    private fun deliver(to: InstanceName, message: ReplicaMessage) {
        val content = message.content
        val isBlocked = content is ReplicaMessageContent.AppendRequest &&
            content.entries.any { entry -> entry.configuration?.let(::excludesBlocked) ?: false }
        if (!isBlocked) hosts[to]?.receive(message)
    }

    private fun excludesBlocked(configuration: Configuration): Boolean =
        blocked != null && !configuration.isJoint && configuration.members.none { it.address.instance == blocked }

    private fun leader(): GroupHost? = hosts.values.find { it.status.isLeader }

    private fun await(condition: () -> Boolean) {
        val end = System.nanoTime() + BOUND.inWholeNanoseconds
        while (!condition()) {
            check(System.nanoTime() < end) { "condition not met within $BOUND: ${hosts.values.map { it.status }}" }
            Thread.sleep(1)
        }
    }

    /**
     * Guards against a machine that is removed while the group can still revert to a configuration in which its replica
     * votes: one further failure would then leave no majority.
     */
    @Test
    fun `a retirement is not complete before the configuration without the replica is committed`() {
        repeat(4) { start(it) }
        await { leader()?.status?.configuration?.members?.size == 4 }
        val voters = instances.take(3)
        val retired = voters.first { hosts.getValue(it) !== leader() }
        blocked = retired
        await {
            leader()?.let { Retirements(it, 3).tick(setOf(retired), Moment(System.nanoTime())) }
            leader()?.status?.configuration?.let(::excludesBlocked) ?: false
        }
        expectThat(Retirements(checkNotNull(leader()), 3).isComplete(retired)).isFalse()
        blocked = null
        await { leader()?.let { Retirements(it, 3).isComplete(retired) } ?: false }
        val status = checkNotNull(leader()).status
        expectThat(status.configuration.members.none { it.address.instance == retired }).isTrue()
    }

    private object Nothing : StateMachine {
        override fun apply(index: Long, timeMilliseconds: Long, command: ByteArray) = ByteArray(0)

        override fun query(timeMilliseconds: Long, query: ByteArray) = ByteArray(0)

        override fun snapshot() = ByteArray(0)

        override fun restore(snapshot: ByteArray) = Unit
    }

    private companion object {
        val BOUND = 20.seconds
    }
}
