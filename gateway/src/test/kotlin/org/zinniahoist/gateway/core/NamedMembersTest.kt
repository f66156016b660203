package org.zinniahoist.gateway.core

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
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
import strikt.assertions.isNull

class NamedMembersTest {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val jobs = JobCallHandler(StubDialect(), ServiceStateMachine(SilentListener)) { error("no replica") }
    private val self = RecordedLink("127.0.0.1:1", Role.CONTROL).peer
    private val links = CoreLinks("m1", self, jobs, scope, silentCrashReports(scope), { Moment.ZERO })
    private val former = listOf(self.instance, InstanceName("127.0.0.1:2"), InstanceName("127.0.0.1:3"))

    @AfterEach
    fun close() {
        links.close()
        scope.cancel()
    }

    /**
     * Guards against entries without a link to the leader. A replica that was replaced while disconnected sent the
     * stale members of its own log, and an entry closes its links to replicas outside the received list.
     */
    @Test
    fun `a replica without a leader sends no members`() {
        val entry = RecordedLink("e1", Role.ENTRY).also(links::onOpen)
        links.update(emptySet(), ServiceMessage.Members(former, leader = null))
        val late = RecordedLink("e2", Role.ENTRY).also(links::onOpen)
        expectThat(entry.offered + late.offered).isEmpty()
    }

    /** Guards against the same failure after a replica loses its leader: new links must not receive the old list. */
    @Test
    fun `a replica that lost its leader sends no members on new links`() {
        val known = ServiceMessage.Members(former, leader = former.last())
        val entry = RecordedLink("e1", Role.ENTRY).also(links::onOpen)
        links.update(emptySet(), known)
        links.update(emptySet(), ServiceMessage.Members(former, leader = null))
        val late = RecordedLink("e2", Role.ENTRY).also(links::onOpen)
        expectThat(entry.offered).containsExactly(known)
        expectThat(late.offered).isEmpty()
    }

    /**
     * Guards against entries that find no leader after a start, when all replicas in their settings are outside the
     * group and therefore have no leader and know only former members.
     */
    @Test
    fun `a replica without a leader forwards the members that a member reported`() {
        val current = ServiceMessage.Members(
            List(3) {
                InstanceName("127.0.0.1:${it + 4}")
            },
            InstanceName("127.0.0.1:4"),
        )
        val member = RecordedLink("127.0.0.1:4", Role.CONTROL).also(links::onOpen)
        val entry = RecordedLink("e1", Role.ENTRY).also(links::onOpen)
        runBlocking { links.onMessage(member, current) }
        links.update(emptySet(), ServiceMessage.Members(former, leader = null))
        expectThat(entry.offered).containsExactly(current)
        expectThat(member.offered).isEmpty()
        links.onClosed(member, LinkCloseCause.Silent)
        links.update(emptySet(), ServiceMessage.Members(former, leader = null))
        expectThat(RecordedLink("e2", Role.ENTRY).also(links::onOpen).offered).isEmpty()
    }

    /** Guards against a replica that joins through former members, which a replica that was cut off announced last. */
    @Test
    fun `the newest of the reported members counts, whichever link delivered it last`() {
        val newest = ServiceMessage.Members(listOf(InstanceName("127.0.0.1:4")), InstanceName("127.0.0.1:4"), index = 9)
        val older = ServiceMessage.Members(former, former.last(), index = 3)
        val members = List(2) { RecordedLink("127.0.0.1:${it + 4}", Role.CONTROL).also(links::onOpen) }
        runBlocking {
            links.onMessage(members[0], newest)
            links.onMessage(members[0], older)
            links.onMessage(members[1], older)
        }
        expectThat(links.reportedMembers).isEqualTo(newest)
        links.onClosed(members[0], LinkCloseCause.Silent)
        expectThat(links.reportedMembers).isEqualTo(older)
    }

    /** Guards against an entry that never hears of a change because its queue was full at that moment. */
    @Test
    fun `an announcement that was not queued is repeated`() {
        val known = ServiceMessage.Members(former, leader = former.last())
        val entry = RecordedLink("e1", Role.ENTRY).also(links::onOpen)
        entry.isFull = true
        links.update(emptySet(), known)
        entry.isFull = false
        repeat(2) { links.update(emptySet(), known) }
        expectThat(entry.offered).containsExactly(known)
    }

    /** Guards against the retirement of the machine that has the address of one that was replaced. */
    @Test
    fun `an instance has the name of the machine that runs there now`() {
        val address = "127.0.0.1:5"
        runBlocking {
            links.onMessage(RecordedLink(address, Role.CONTROL), ServiceMessage.Machine("m4"))
            links.onMessage(RecordedLink(address, Role.CONTROL), ServiceMessage.Machine("m9"))
        }
        expectThat(links.replicaOn("m9")).isEqualTo(InstanceName(address))
        expectThat(links.replicaOn("m4")).isNull()
    }
}
