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
import org.zinniahoist.consensus.DiskFileStore
import org.zinniahoist.consensus.GroupHost
import org.zinniahoist.consensus.GroupStorage
import org.zinniahoist.consensus.ReplicaAddress
import org.zinniahoist.consensus.ReplicaIdentifier
import org.zinniahoist.consensus.ReplicaMessage
import org.zinniahoist.consensus.ReplicaMessageContent
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
import org.zinniahoist.wire.ServiceMessage
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.net.ServerSocket
import java.nio.file.Path

internal class CoreLinksTest {
    /** A replica with an empty folder and its links. */
    private inner class Core(
        folder: Path,
        number: Int,
    ) {
        val endpoint = Endpoint("127.0.0.1", ServerSocket(0).use { it.localPort })
        val instance = InstanceName("127.0.0.1:${endpoint.port}")
        private val hello = LinkMessage.Hello(
            LinkLimits.PROTOCOL_VERSION,
            instance,
            Incarnation(1),
            FailureDomain("a", Region("r")),
            setOf(Role.CONTROL),
        )
        private val machine = ServiceStateMachine(SilentListener)
        val links = CoreLinks("m$number", hello, JobCalls(StubDialect(), machine) { host }, scope, ::now)
        val identifier = ReplicaIdentifier(number.toLong())
        val host: GroupHost
        private val server = LinkServer(endpoint, hello, links, ::HeartbeatContent, ::now)

        init {
            val files = DiskFileStore(folder.resolve("m$number"))
            val opened = GroupStorage.open(files, identifier).getOrElse { error(it.message) }
            host = GroupHost("service", instance, machine, opened, ReplicaTransport(links::send))
            links.host = host
            runBlocking { server.start() }
        }

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

    private fun eventually(condition: () -> Boolean): Boolean {
        repeat(ATTEMPTS) {
            if (condition()) return true
            Thread.sleep(PAUSE_MILLISECONDS)
        }
        return false
    }

    /**
     * Guards against an emptied replica that never gets the log: the leader is none of its seeds, so it has no link of
     * its own on which to answer.
     */
    @Test
    fun `a replica answers one that it does not know`(@TempDir folder: Path) {
        cores += List(2) { Core(folder, it + 1) }
        val (leader, emptied) = cores
        leader.links.update(setOf(emptied.instance), ServiceMessage.Members(emptyList(), leader = null))
        expectThat(eventually { emptied.instance in leader.links.reachable }).isTrue()
        val answer = ReplicaMessage(
            ReplicaAddress(emptied.identifier, emptied.instance),
            leader.identifier,
            term = 7,
            ReplicaMessageContent.AppendResponse(success = false, index = 5, hint = 0, round = 0),
        )
        expectThat(
            eventually {
                emptied.links.send(leader.instance, answer)
                leader.host.status.term == 7L
            },
        ).isTrue()
        expectThat(leader.host.status.isLeader).isEqualTo(false)
    }

    private companion object {
        const val ATTEMPTS = 200
        const val PAUSE_MILLISECONDS = 20L
    }
}
