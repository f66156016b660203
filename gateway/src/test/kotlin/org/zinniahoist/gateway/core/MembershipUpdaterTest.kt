package org.zinniahoist.gateway.core

import arrow.core.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.zinniahoist.consensus.Configuration
import org.zinniahoist.consensus.DiskFileStore
import org.zinniahoist.consensus.GroupHost
import org.zinniahoist.consensus.GroupStatus
import org.zinniahoist.consensus.GroupStorage
import org.zinniahoist.consensus.Member
import org.zinniahoist.consensus.PositionedConfiguration
import org.zinniahoist.consensus.ReplicaAddress
import org.zinniahoist.consensus.ReplicaIdentifier
import org.zinniahoist.consensus.ReplicaTransport
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Role
import org.zinniahoist.state.service.ServiceStateMachine
import org.zinniahoist.wire.LinkCloseCause
import org.zinniahoist.wire.ServiceMessage
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.nio.file.Path
import kotlin.time.Duration.Companion.seconds

class MembershipUpdaterTest {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val machine = ServiceStateMachine(SilentListener)
    private val jobs = JobCallHandler(StubDialect(), machine) { error("no replica") }
    private val self = RecordedLink("127.0.0.1:1", Role.CONTROL).peer
    private val links = CoreLinks("m1", self, jobs, scope, silentCrashReports(scope), { Moment.ZERO })
    private val address = ReplicaAddress(ReplicaIdentifier(1), self.instance)
    private val leader = InstanceName("127.0.0.1:9")
    private lateinit var host: GroupHost

    @AfterEach
    fun close() {
        host.close()
        links.close()
        scope.cancel()
    }

    private fun configuration(vararg ports: Int) = Configuration(
        ports.map { Member(ReplicaAddress(ReplicaIdentifier(it.toLong()), InstanceName("127.0.0.1:$it")), true) },
    )

    private fun status(
        isCaughtUp: Boolean,
        index: Long,
        committed: Configuration,
        latest: Configuration,
    ) = GroupStatus(
        address,
        isLeader = false,
        leader = leader,
        term = 7,
        commitIndex = index,
        lastIndex = index,
        configuration = latest,
        isConfigurationCommitted = committed == latest,
        committed = PositionedConfiguration(index, committed),
        isCaughtUp = isCaughtUp,
        failure = null,
    )

    private fun updater(folder: Path): MembershipUpdater {
        val opened = GroupStorage.open(DiskFileStore(folder), address.identifier).getOrElse { error(it.message) }
        host = GroupHost("service", self.instance, machine, opened, ReplicaTransport { _, _ -> })
        links.host = host
        return MembershipUpdater(host, links, setOf(self.instance))
    }

    /** Guards against entries that hear of former members from a replica that replays its log and knows the leader. */
    @Test
    fun `a replica that has not caught up with its leader announces no members`(@TempDir folder: Path) {
        val updater = updater(folder)
        val entry = RecordedLink("e1", Role.ENTRY).also(links::onOpen)
        val former = configuration(2, 3)
        val current = configuration(4, 5)
        updater.tick(status(isCaughtUp = false, index = 2, former, current), emptySet(), Moment.ZERO)
        expectThat(entry.offered).isEmpty()
        updater.tick(status(isCaughtUp = true, index = 8, current, current), emptySet(), Moment.ZERO)
        val instances = current.members.map { it.address.instance }
        expectThat(entry.offered).containsExactly(ServiceMessage.Members(instances, leader, index = 8, term = 7))
    }

    /** Guards against entries that follow a change of the members which is undone with the end of its term. */
    @Test
    fun `only committed members are announced`(@TempDir folder: Path) {
        val updater = updater(folder)
        val entry = RecordedLink("e1", Role.ENTRY).also(links::onOpen)
        val committed = configuration(2, 3)
        updater.tick(status(isCaughtUp = true, index = 5, committed, configuration(2, 3, 4)), emptySet(), Moment.ZERO)
        val instances = committed.members.map { it.address.instance }
        expectThat(entry.offered).containsExactly(ServiceMessage.Members(instances, leader, index = 5, term = 7))
    }

    /**
     * Guards against a replica that never joins again: it was cut off while all members that its log names were
     * replaced, so all replicas that it contacts are gone.
     */
    @Test
    fun `an isolated replica contacts all replicas it has known`(@TempDir folder: Path) {
        val updater = updater(folder)
        val member = RecordedLink("127.0.0.1:5", Role.CONTROL).also(links::onOpen)
        val reported = ServiceMessage.Members(listOf(InstanceName("127.0.0.1:6")), leader, index = 9, term = 7)
        runBlocking { links.onMessage(member, reported) }
        val behind = status(isCaughtUp = false, index = 2, configuration(2), configuration(2))
        updater.tick(behind, emptySet(), Moment.ZERO)
        links.onClosed(member, LinkCloseCause.Silent)
        updater.tick(behind, emptySet(), Moment.ZERO + 1.seconds)
        expectThat(links.dialled).isEqualTo(setOf(InstanceName("127.0.0.1:2")))
        updater.tick(behind, emptySet(), Moment.ZERO + 6.seconds)
        expectThat(links.dialled).isEqualTo(setOf(InstanceName("127.0.0.1:2"), InstanceName("127.0.0.1:6")))
    }
}
