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
import org.zinniahoist.consensus.GroupStorage
import org.zinniahoist.consensus.Member
import org.zinniahoist.consensus.ReplicaAddress
import org.zinniahoist.consensus.ReplicaIdentifier
import org.zinniahoist.consensus.ReplicaOptions
import org.zinniahoist.consensus.ReplicaTransport
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Region
import org.zinniahoist.model.Role
import org.zinniahoist.state.service.ServiceStateMachine
import org.zinniahoist.wire.HeartbeatContent
import org.zinniahoist.wire.LinkLimits
import org.zinniahoist.wire.LinkMessage
import org.zinniahoist.wire.LinkServer
import strikt.api.expectThat
import strikt.assertions.isTrue
import java.net.ServerSocket
import java.nio.file.Path

internal class OutsideSeedsTest {
    /** A replica with its links; the only voter of a group if [isFounder], otherwise with an empty data folder. */
    private inner class Core(
        folder: Path,
        private val endpoint: Endpoint,
        seeds: Set<InstanceName>,
        isFounder: Boolean,
    ) {
        val instance = InstanceName("127.0.0.1:${endpoint.port}")
        private val hello = LinkMessage.Hello(
            LinkLimits.PROTOCOL_VERSION,
            instance,
            Incarnation(1),
            FailureDomain("a", Region("r")),
            setOf(Role.CONTROL),
        )
        private val machine = ServiceStateMachine(SilentListener)
        private val links =
            CoreLinks(
                "m",
                hello,
                JobCallHandler(StubDialect(), machine) {
                    host
                },
                scope,
                silentCrashReports(scope),
                ::now,
            )
        val host: GroupHost
        private val follower: MembershipUpdater
        private val server = LinkServer(endpoint, hello, links, ::HeartbeatContent, ::now)

        init {
            val files = DiskFileStore(folder.resolve("${endpoint.port}"))
            val address = ReplicaAddress(ReplicaIdentifier(endpoint.port.toLong()), instance)
            val alone = Configuration(listOf(Member(address, voter = true)))
            if (isFounder) GroupStorage.bootstrap(files, address.identifier, alone, timeMilliseconds = 0)
            val opened = GroupStorage.open(files, address.identifier).getOrElse { error(it.message) }
            val options = ReplicaOptions(acceptsUnknownInstances = true, targetVoters = 3)
            host = GroupHost("service", instance, machine, opened, ReplicaTransport(links::send), options)
            follower = MembershipUpdater(host, links, seeds)
            links.host = host
            runBlocking { server.start() }
        }

        fun tick() = follower.tick(host.status, emptySet(), now())

        fun close() {
            host.close()
            links.close()
            server.close()
        }
    }

    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val cores = ArrayList<Core>()

    private fun now() = Moment(System.nanoTime())

    @AfterEach
    fun close() {
        cores.forEach { it.close() }
        scope.cancel()
    }

    private fun freeEndpoint() = Endpoint("127.0.0.1", ServerSocket(0).use { it.localPort })

    private fun eventually(condition: () -> Boolean): Boolean {
        repeat(ATTEMPTS) {
            cores.forEach { it.tick() }
            if (condition()) return true
            Thread.sleep(PAUSE_MILLISECONDS)
        }
        return false
    }

    /**
     * Guards against a group that can no longer replace lost voters: all replicas in the settings were reset or
     * replaced, so that a replica outside the group contacted no member of it.
     */
    @Test
    fun `a replica whose seeds are all outside the group joins it`(@TempDir folder: Path) {
        val outside = freeEndpoint()
        val emptied = Core(folder, outside, setOf(InstanceName("127.0.0.1:${freeEndpoint().port}")), isFounder = false)
        val leader = Core(folder, freeEndpoint(), setOf(emptied.instance), isFounder = true)
        cores += listOf(emptied, leader)
        expectThat(eventually { leader.host.status.isLeader }).isTrue()
        expectThat(
            eventually { leader.host.status.configuration.members.any { it.address.instance == emptied.instance } },
        ).isTrue()
    }

    private companion object {
        const val ATTEMPTS = 300
        const val PAUSE_MILLISECONDS = 20L
    }
}
