package org.zinniahoist.gateway.core

import arrow.core.getOrElse
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
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
import org.zinniahoist.gateway.dialect.PlatformDialect
import org.zinniahoist.gateway.dialect.ResultPages
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.Role
import org.zinniahoist.state.StateCodec
import org.zinniahoist.state.service.BatchItem
import org.zinniahoist.state.service.BatchJob
import org.zinniahoist.state.service.ItemResult
import org.zinniahoist.state.service.JobIdentifier
import org.zinniahoist.state.service.ServiceCommand
import org.zinniahoist.state.service.ServiceStateMachine
import org.zinniahoist.wire.LinkConnection
import org.zinniahoist.wire.Message
import org.zinniahoist.wire.ServiceCall
import org.zinniahoist.wire.ServiceMessage
import org.zinniahoist.wire.ServiceReply
import org.zinniahoist.wire.UnsentFrames
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests reads of the job "j", which has one result, on a leader whose clock the test sets. */
internal class LinkCallResponderTest {
    @TempDir
    lateinit var folder: Path

    /** Dialect that counts the pages it builds. */
    private inner class PageDialect(private val stub: PlatformDialect = StubDialect()) : PlatformDialect by stub {
        override fun sizeOf(result: ItemResult): Int = PAGE_BYTES

        override fun jobPage(total: Int, after: Int, results: List<ItemResult>): ByteArray {
            pagesBuilt++
            return ByteArray(PAGE_BYTES)
        }
    }

    /** A link with [waiting] unsent bytes; sent replies add to them. */
    private class SlowLink(private val recorded: RecordedLink = RecordedLink("entry", Role.ENTRY)) :
        LinkConnection by recorded {
        @Volatile
        var waiting = 0L

        val replies: List<ServiceMessage.Reply> get() = recorded.offered.filterIsInstance<ServiceMessage.Reply>()

        override val unsent: UnsentFrames get() = UnsentFrames(frames = 1, bytes = waiting)

        override suspend fun send(message: Message): Boolean {
            waiting += PAGE_BYTES
            return recorded.send(message)
        }
    }

    private val machine = ServiceStateMachine(SilentListener)
    private val leader by lazy { openHost() }
    private val link = SlowLink()
    private val responder =
        LinkCallResponder(JobCallHandler(PageDialect(), machine) { leader }, { now }, { link.waiting })
            .also { it.onOpen(link) }

    @Volatile
    private var now = Moment.ZERO
    private var pagesBuilt = 0

    @AfterEach
    fun close(): Unit = leader.close()

    private fun openHost(): GroupHost {
        val files = DiskFileStore(folder.resolve("leader"))
        val address = ReplicaAddress(ReplicaIdentifier(1), InstanceName("n1"))
        val alone = Configuration(listOf(Member(address, voter = true)))
        GroupStorage.bootstrap(files, address.identifier, alone, timeMilliseconds = 0)
        val opened = GroupStorage.open(files, address.identifier).getOrElse { error(it.message) }
        return GroupHost("test", address.instance, machine, opened, { _, _ -> })
    }

    private suspend fun begin() {
        withTimeout(BOUND) { while (!leader.status.isLeader) delay(1.milliseconds) }
        val item = BatchItem(RequestIdentifier("a"), "/p", emptyList(), byteArrayOf(1), tokens = 10)
        propose(ServiceCommand.SubmitJob(BatchJob(JobIdentifier("j"), "h", "/p/", listOf(item))))
        val result = ItemResult(item.identifier, isCompleted = true, output = "text")
        propose(ServiceCommand.RecordResults(JobIdentifier("j"), listOf(result)))
    }

    private suspend fun propose(command: ServiceCommand) {
        leader.propose(StateCodec.encode<ServiceCommand>(command)).await()
    }

    private fun read(identifier: Long, patience: Duration?, request: Long? = null) = responder.begin(
        link,
        ServiceMessage.Call(
            identifier,
            ServiceCall.ReadJob("j", after = 0, waitMilliseconds = 0),
            patience?.inWholeMilliseconds,
            request,
        ),
    )

    /** Guards against a leader that spends processor time on pages that the entries could build. */
    @Test
    fun `the leader does not expand results for an entry that accepts packed ones`(): Unit = runBlocking {
        begin()
        val call = ServiceCall.ReadJob("j", after = 0, waitMilliseconds = 0, acceptsPacked = true)
        answer(responder.begin(link, ServiceMessage.Call(1, call)))
        expectThat(pagesBuilt).isEqualTo(0)
        val results = link.replies.single().reply
        expectThat(results).isA<ServiceReply.Results>().get { ResultPages(PageDialect()).page(this).size }
            .isEqualTo(PAGE_BYTES)
    }

    private suspend fun answer(vararg pending: LinkCallResponder.PendingCall?) =
        pending.filterNotNull().forEach { responder.answer(it) }

    /** Guards against an overloaded leader that builds and queues the same page for each retry of a read. */
    @Test
    fun `a leader queues the page of a retried read once`(): Unit = runBlocking {
        begin()
        val repeated = Array(8) { read(identifier = it + 1L, patience = 5.seconds, request = 1) }
        answer(*repeated)
        expectThat(link.replies.map { it.identifier }).containsExactly(8)
        expectThat(pagesBuilt).isEqualTo(1)
    }

    /** Guards against an overloaded leader that builds pages for callers that have timed out. */
    @Test
    fun `a caller that has timed out gets no reply`(): Unit = runBlocking {
        begin()
        val late = read(identifier = 1, patience = 700.milliseconds)
        now += 700.milliseconds
        answer(late, read(identifier = 2, patience = 700.milliseconds))
        expectThat(link.replies.map { it.identifier }).containsExactly(2)
        expectThat(pagesBuilt).isEqualTo(1)
    }

    /** Guards against pages that stay queued on a slow link until their readers have timed out. */
    @Test
    fun `a page is built once the link has capacity for it`(): Unit = runBlocking {
        begin()
        link.waiting = 1L shl 20
        val replying = launch { answer(read(identifier = 1, patience = 700.milliseconds)) }
        delay(50.milliseconds)
        expectThat(pagesBuilt).isEqualTo(0)
        link.waiting = 0
        replying.join()
        expectThat(link.replies).hasSize(1)
    }

    /** Guards against concurrent reads on a slow link that all claim the same free capacity. */
    @Test
    fun `two pages do not claim the same capacity`(): Unit = runBlocking {
        begin()
        val first = launch { answer(read(identifier = 1, patience = 700.milliseconds)) }
        val second = launch { answer(read(identifier = 2, patience = 700.milliseconds)) }
        first.join()
        now += 700.milliseconds
        second.join()
        expectThat(link.replies).hasSize(1)
        expectThat(pagesBuilt).isEqualTo(1)
    }

    /** Guards against building pages for callers whose link has closed. */
    @Test
    fun `a call on a closed link is dropped`(): Unit = runBlocking {
        begin()
        val pending = read(identifier = 1, patience = 700.milliseconds)
        responder.onClosed(link)
        answer(pending)
        expectThat(link.replies).isEmpty()
        expectThat(pagesBuilt).isEqualTo(0)
    }

    /** Guards against a release that ignores callers of the previous release, which do not send a deadline. */
    @Test
    fun `a call without a deadline gets a reply`(): Unit = runBlocking {
        begin()
        val pending = read(identifier = 1, patience = null)
        now += 60.seconds
        answer(pending)
        expectThat(link.replies).hasSize(1)
    }

    private companion object {
        const val PAGE_BYTES = 900_000
        val BOUND = 10.seconds
    }
}
