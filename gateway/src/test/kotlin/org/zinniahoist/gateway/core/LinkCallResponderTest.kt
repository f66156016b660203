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

/** Reads of the job "j", which has a result, at a leader whose time the test sets. */
internal class LinkCallResponderTest {
    @TempDir
    lateinit var folder: Path

    /** Counts the pages that are made. */
    private inner class PageDialect(private val stub: PlatformDialect = StubDialect()) : PlatformDialect by stub {
        override fun sizeOf(result: ItemResult): Int = PAGE_BYTES

        override fun jobPage(total: Int, after: Int, results: List<ItemResult>): ByteArray {
            pagesMade++
            return ByteArray(PAGE_BYTES)
        }
    }

    /** A link on which [waiting] bytes wait for sending, and what is sent waits as well. */
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
    private val answers = LinkCallResponder(JobCalls(PageDialect(), machine) { leader }, { now }, { link.waiting })
        .also { it.onOpen(link) }

    @Volatile
    private var now = Moment.ZERO
    private var pagesMade = 0

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

    private fun read(identifier: Long, patience: Duration?, request: Long? = null) = answers.begin(
        link,
        ServiceMessage.Call(
            identifier,
            ServiceCall.ReadJob("j", after = 0, waitMilliseconds = 0),
            patience?.inWholeMilliseconds,
            request,
        ),
    )

    /** Guards against a leader whose processor time is spent on pages that the entries could make. */
    @Test
    fun `the leader expands no result for an entry that does so itself`(): Unit = runBlocking {
        begin()
        val call = ServiceCall.ReadJob("j", after = 0, waitMilliseconds = 0, acceptsPacked = true)
        answer(answers.begin(link, ServiceMessage.Call(1, call)))
        expectThat(pagesMade).isEqualTo(0)
        val results = link.replies.single().reply
        expectThat(results).isA<ServiceReply.Results>().get { ResultPages(PageDialect()).page(this).size }
            .isEqualTo(PAGE_BYTES)
    }

    private suspend fun answer(vararg pending: LinkCallResponder.PendingCall?) =
        pending.filterNotNull().forEach { answers.answer(it) }

    /** Guards against a late leader that makes and queues the same page for each repetition of one read. */
    @Test
    fun `a late leader queues the page of a repeated read once`(): Unit = runBlocking {
        begin()
        val repeated = Array(8) { read(identifier = it + 1L, patience = 5.seconds, request = 1) }
        answer(*repeated)
        expectThat(link.replies.map { it.identifier }).containsExactly(8)
        expectThat(pagesMade).isEqualTo(1)
    }

    /** Guards against pages, made by a late leader, for callers that have given up. */
    @Test
    fun `a caller that has given up gets no answer`(): Unit = runBlocking {
        begin()
        val late = read(identifier = 1, patience = 700.milliseconds)
        now += 700.milliseconds
        answer(late, read(identifier = 2, patience = 700.milliseconds))
        expectThat(link.replies.map { it.identifier }).containsExactly(2)
        expectThat(pagesMade).isEqualTo(1)
    }

    /** Guards against pages that wait on a slow link until their readers have given up. */
    @Test
    fun `a page is made when there is room for it`(): Unit = runBlocking {
        begin()
        link.waiting = 1L shl 20
        val answering = launch { answer(read(identifier = 1, patience = 700.milliseconds)) }
        delay(50.milliseconds)
        expectThat(pagesMade).isEqualTo(0)
        link.waiting = 0
        answering.join()
        expectThat(link.replies).hasSize(1)
    }

    /** Guards against readers of a slow link that all find the same room. */
    @Test
    fun `two pages do not take the same room`(): Unit = runBlocking {
        begin()
        val first = launch { answer(read(identifier = 1, patience = 700.milliseconds)) }
        val second = launch { answer(read(identifier = 2, patience = 700.milliseconds)) }
        first.join()
        now += 700.milliseconds
        second.join()
        expectThat(link.replies).hasSize(1)
        expectThat(pagesMade).isEqualTo(1)
    }

    /** Guards against pages for callers whose link has closed. */
    @Test
    fun `nobody waits on a closed link`(): Unit = runBlocking {
        begin()
        val pending = read(identifier = 1, patience = 700.milliseconds)
        answers.onClosed(link)
        answer(pending)
        expectThat(link.replies).isEmpty()
        expectThat(pagesMade).isEqualTo(0)
    }

    /** Guards against a release that does not answer callers of the one before, which do not say how long they wait. */
    @Test
    fun `a caller that does not say how long it waits is answered`(): Unit = runBlocking {
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
