package org.zinniahoist.gateway.link

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Region
import org.zinniahoist.model.Revision
import org.zinniahoist.model.Role
import org.zinniahoist.wire.HeartbeatContent
import org.zinniahoist.wire.LinkCloseCause
import org.zinniahoist.wire.LinkConnection
import org.zinniahoist.wire.LinkHandler
import org.zinniahoist.wire.LinkLimits
import org.zinniahoist.wire.LinkMessage
import org.zinniahoist.wire.LinkServer
import org.zinniahoist.wire.Message
import org.zinniahoist.wire.ServiceCall
import org.zinniahoist.wire.ServiceMessage
import org.zinniahoist.wire.ServiceReply
import strikt.api.expectThat
import strikt.assertions.isTrue
import java.net.ServerSocket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.seconds

class FormerMembersTest {
    /** A replica that answers every call for a configuration with [revision]. */
    private inner class FakeReplica : LinkHandler {
        private val endpoint = Endpoint(HOST, ServerSocket(0).use { it.localPort })
        val instance = InstanceName("$HOST:${endpoint.port}")
        private val server = LinkServer(endpoint, hello(instance, Role.CONTROL), this, ::heartbeat, ::now)
        val links = CopyOnWriteArrayList<LinkConnection>()

        @Volatile
        var revision = Revision(1)

        @Volatile
        var isCaughtUp = false

        private fun heartbeat() = HeartbeatContent(isCaughtUp = isCaughtUp)

        fun start() = runBlocking { server.start() }

        fun close() = server.close()

        fun announce(message: ServiceMessage) = links.forEach { it.offer(message) }

        override fun onOpen(link: LinkConnection) {
            links += link
        }

        override suspend fun onMessage(link: LinkConnection, message: Message) {
            if (message !is ServiceMessage.Call) return
            check(message.call is ServiceCall.NewestConfiguration || message.call is ServiceCall.AppliedConfiguration)
            val document = ServiceReply.Document(revision, DocumentCompression.compress(ByteArray(1)))
            link.offer(ServiceMessage.Reply(message.identifier, document))
        }

        override fun onClosed(link: LinkConnection, cause: LinkCloseCause) {
            links -= link
        }
    }

    private class Observer : CoreObserver {
        val revisions = CopyOnWriteArrayList<Revision>()

        override fun onConfiguration(revision: Revision, document: ByteArray) {
            revisions += revision
        }

        override fun onUpstreams(entries: List<ListedUpstream>?) = Unit

        override fun onCrashes(report: ServiceMessage.Crashes) = Unit

        override fun onConnected(link: LinkConnection) = Unit
    }

    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val replicas = List(3) { FakeReplica() }
    private val observer = Observer()
    private lateinit var client: CoreClient

    private fun now() = Moment(System.nanoTime())

    @AfterEach
    fun close() {
        client.close()
        replicas.forEach { it.close() }
        scope.cancel()
    }

    /**
     * Guards against an entry that never again hears of a configuration: a replica that replays its log names members
     * of long ago, and the entry closes its links to all replicas that run.
     */
    @Test
    fun `an entry keeps its replicas when one that replays its log announces former members`() {
        val (seed, caughtUp, replaying) = replicas
        connectThroughSeed(seed, listOf(caughtUp, replaying))
        replaying.announce(ServiceMessage.Members(GONE, caughtUp.instance, index = 2, term = 5))
        announceConfiguration(replaying, Revision(2))
        announceConfiguration(caughtUp, Revision(3))
        expectThat(eventually { observer.revisions.lastOrNull() == Revision(3) }).isTrue()
    }

    /** Guards against an entry that takes itself for connected to the group, or for isolated, whatever it hears. */
    @Test
    fun `only heartbeats of a replica that has caught up count as contact`() {
        val replica = replicas.first()
        replicas.forEach { it.start() }
        client = CoreClient(setOf(replica.instance), hello(InstanceName("e"), Role.ENTRY), observer, scope, ::now)
        client.start()
        check(eventually { replica.links.isNotEmpty() }) { "the entry has no link" }
        expectThat(eventually { client.contactAge > 2.seconds }).isTrue()
        replica.isCaughtUp = true
        expectThat(eventually { client.contactAge < 1.seconds }).isTrue()
    }

    /** Starts the client, lets [seed] announce [members], and stops the seed once they are connected. */
    private fun connectThroughSeed(seed: FakeReplica, members: List<FakeReplica>) {
        replicas.forEach { it.start() }
        client = CoreClient(setOf(seed.instance), hello(InstanceName("e"), Role.ENTRY), observer, scope, ::now)
        client.start()
        check(eventually { observer.revisions.isNotEmpty() }) { "the entry has no configuration" }
        seed.announce(ServiceMessage.Members(members.map { it.instance }, members[0].instance, index = 10, term = 5))
        check(eventually { members.all { it.links.isNotEmpty() } }) { "the entry has no links to the members" }
        seed.close()
    }

    private fun announceConfiguration(replica: FakeReplica, revision: Revision) {
        replica.revision = revision
        replica.announce(ServiceMessage.Configured(revision))
        eventually { observer.revisions.lastOrNull() == revision }
    }

    private fun eventually(condition: () -> Boolean): Boolean {
        repeat(ATTEMPTS) {
            if (condition()) return true
            Thread.sleep(PAUSE_MILLISECONDS)
        }
        return false
    }

    private fun hello(instance: InstanceName, role: Role) = LinkMessage.Hello(
        LinkLimits.PROTOCOL_VERSION,
        instance,
        Incarnation(1),
        FailureDomain("a", Region("r")),
        setOf(role),
    )

    private companion object {
        const val HOST = "127.0.0.1"
        val GONE = listOf(InstanceName("127.0.0.1:1"), InstanceName("127.0.0.1:2"))
        const val ATTEMPTS = 250
        const val PAUSE_MILLISECONDS = 20L
    }
}
