package org.zinniahoist.gateway.core

import arrow.core.getOrElse
import arrow.core.right
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
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
import org.zinniahoist.consensus.StateMachine
import org.zinniahoist.gateway.dialect.PlatformDialect
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.Revision
import org.zinniahoist.model.WorkspaceName
import org.zinniahoist.state.StateCodec
import org.zinniahoist.state.service.BatchItem
import org.zinniahoist.state.service.BatchJob
import org.zinniahoist.state.service.HeaderField
import org.zinniahoist.state.service.JobIdentifier
import org.zinniahoist.state.service.ServiceCommand
import org.zinniahoist.state.service.ServiceStateMachine
import org.zinniahoist.wire.JobAccess
import org.zinniahoist.wire.ServiceCall
import org.zinniahoist.wire.ServiceReply
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.nio.file.Path
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests calls to a replica whose log contains the job "j". */
internal class JobCallHandlerTest {
    @TempDir
    lateinit var folder: Path

    private val machine = ServiceStateMachine(SilentListener)

    /** State of the replica after its failure: what it has replayed of its log by then. */
    private var replayedState = machine.snapshot()

    /** Set to make the replica fail during the next read. */
    @Volatile
    private var failsAfterRead = false

    /** True once the replica has failed: it replays its log and is no longer the leader. */
    @Volatile
    private var hasFailed = false
    private val leader by lazy { openHost("leader", voters = 1) }
    private val follower by lazy { openHost("follower", voters = 2) }
    private val calls = JobCallHandler(StubDialect(), machine) { if (hasFailed) follower else leader }

    @AfterEach
    fun close() {
        leader.close()
        follower.close()
    }

    private fun openHost(name: String, voters: Int): GroupHost {
        val files = DiskFileStore(folder.resolve(name))
        val members = (1..voters).map {
            Member(ReplicaAddress(ReplicaIdentifier(it.toLong()), InstanceName("n$it")), voter = true)
        }
        GroupStorage.bootstrap(files, ReplicaIdentifier(1), Configuration(members), timeMilliseconds = 0)
        val opened = GroupStorage.open(files, ReplicaIdentifier(1)).getOrElse { error(it.message) }
        return GroupHost("test", InstanceName("n1"), FailingMachine(), opened, { _, _ -> })
    }

    private inner class FailingMachine : StateMachine by machine {
        override fun query(timeMilliseconds: Long, query: ByteArray): ByteArray {
            if (failsAfterRead) {
                machine.restore(replayedState)
                hasFailed = true
            }
            return machine.query(timeMilliseconds, query)
        }
    }

    private suspend fun submit(workspace: WorkspaceName? = null) {
        withTimeout(BOUND) { while (!leader.status.isLeader) delay(1.milliseconds) }
        val item = BatchItem(RequestIdentifier("i"), "/p/", emptyList(), ByteArray(0), tokens = 1)
        propose(ServiceCommand.SubmitJob(BatchJob(JobIdentifier("j"), "h", "/p/", listOf(item), workspace = workspace)))
    }

    private suspend fun propose(command: ServiceCommand) {
        leader.propose(StateCodec.encode(command)).await()
    }

    /** Guards against a "not found" reply for an accepted job while a failed replica replays its log. */
    @Test
    fun `a replica that has lost its state does not report a job as unknown`(): Unit = runBlocking {
        submit()
        failsAfterRead = true
        expectThat(calls.answer(ServiceCall.ReadJob("j", after = 0, waitMilliseconds = 0)))
            .isA<ServiceReply.Unavailable>()
    }

    /** Guards against a configuration that was replaced long ago, told as the newest one by a replica that replays. */
    @Test
    fun `a replica that replays its log does not return an earlier configuration`(): Unit = runBlocking {
        submit()
        propose(ServiceCommand.AcceptConfiguration(Revision(1), ByteArray(0)))
        replayedState = machine.snapshot()
        propose(ServiceCommand.AcceptConfiguration(Revision(2), ByteArray(0)))
        expectThat(calls.answer(ServiceCall.NewestConfiguration)).isA<ServiceReply.Document>()
            .get { revision }.isEqualTo(Revision(2))
        failsAfterRead = true
        expectThat(calls.answer(ServiceCall.NewestConfiguration)).isA<ServiceReply.Unavailable>()
    }

    /** Guards against a page without results that the trainer has been told of before. */
    @Test
    fun `a replica that replays its log does not return a page of results`(): Unit = runBlocking {
        submit()
        replayedState = machine.snapshot()
        failsAfterRead = true
        expectThat(calls.answer(ServiceCall.ReadJob("j", after = 0, waitMilliseconds = 0, acceptsPacked = true)))
            .isA<ServiceReply.Unavailable>()
    }

    /** Guards against the body of an item of a job that no longer exists. */
    @Test
    fun `a replica that replays its log does not return an item`(): Unit = runBlocking {
        submit()
        replayedState = machine.snapshot()
        failsAfterRead = true
        expectThat(calls.answer(ServiceCall.ReadItem("j", "i"))).isA<ServiceReply.Unavailable>()
    }

    /** Guards against an acknowledgement of a job that is known only from a part of the log that is out of date. */
    @Test
    fun `a replica that replays its log does not acknowledge a job again`(): Unit = runBlocking {
        submit()
        replayedState = machine.snapshot()
        failsAfterRead = true
        expectThat(calls.answer(ServiceCall.SubmitJob("h", "/p/", "j", ByteArray(0)))).isA<ServiceReply.Unavailable>()
    }

    /** Guards against readers of a nonexistent job that retry until they time out. */
    @Test
    fun `a leader reports a nonexistent job as unknown`(): Unit = runBlocking {
        submit()
        val reply = calls.answer(ServiceCall.ReadJob("k", after = 0, waitMilliseconds = 0))
        expectThat(reply).isEqualTo(ServiceReply.NotFound)
    }

    /** Guards against accepting a job with an item that no upstream ever gets. */
    @Test
    fun `a job with an item that can't be sent is refused and not kept`(): Unit = runBlocking {
        submit()
        val field = HeaderField("x a", "1")
        val item = BatchItem(RequestIdentifier("i"), "/p/", listOf(field), ByteArray(0), tokens = 1)
        val reply = JobCallHandler(jobDialect(item), machine) { leader }
            .answer(ServiceCall.SubmitJob("h", "/p/", "k", ByteArray(0)))
        expectThat(reply).isEqualTo(ServiceReply.Invalid("item 0: malformed header name"))
        expectThat(machine.job(JobIdentifier("k"))).isNull()
    }

    /** Guards against a job that is read or ended by callers of another workspace, or by callers without a key. */
    @Test
    fun `only its own workspace reads, ends or submits a job again`(): Unit = runBlocking {
        submit(WorkspaceName("north"))
        val replies = listOf(JobAccess.Member(WorkspaceName("south")), JobAccess.Anonymous, NORTH).map { access ->
            listOf(
                calls.answer(
                    ServiceCall.ReadJob("j", after = 0, waitMilliseconds = 0, acceptsPacked = true, access = access),
                ),
                calls.answer(ServiceCall.ReadItem("j", "i", access)),
                calls.answer(ServiceCall.SubmitJob("h", "/p/", "j", ByteArray(0), access)),
                calls.answer(ServiceCall.EndJob("j", access)),
            )
        }
        expectThat(replies[0].toSet()).containsExactly(ServiceReply.NotFound)
        expectThat(replies[1].toSet()).containsExactly(ServiceReply.Unauthorized)
        expectThat(replies[2].map { it::class }).containsExactly(
            ServiceReply.Results::class,
            ServiceReply.Content::class,
            ServiceReply.Done::class,
            ServiceReply.Done::class,
        )
    }

    /** Guards against jobs of a public route, and of logs without workspaces, that nobody may read. */
    @Test
    fun `a job without a workspace needs no key`(): Unit = runBlocking {
        submit()
        for (access in listOf(JobAccess.Anonymous, NORTH)) {
            expectThat(
                calls.answer(
                    ServiceCall.ReadJob("j", after = 0, waitMilliseconds = 0, acceptsPacked = true, access = access),
                ),
            )
                .isA<ServiceReply.Results>()
        }
    }

    /** Guards against items that run for another workspace than the one whose key submitted them. */
    @Test
    fun `a job belongs to the workspace of its caller, whatever its items name`(): Unit = runBlocking {
        submit()
        val fields = listOf(HeaderField("Authorization", "Bearer k"), HeaderField("X-Workspace", "south"))
        val item = BatchItem(RequestIdentifier("i"), "/p/", fields, ByteArray(0), tokens = 1)
        JobCallHandler(jobDialect(item), machine) { leader }
            .answer(ServiceCall.SubmitJob("h", "/p/", "k", ByteArray(0), NORTH))
        val job = machine.job(JobIdentifier("k"))?.job
        expectThat(job?.workspace).isEqualTo(WorkspaceName("north"))
        expectThat(job?.items.orEmpty().flatMap { it.headers }).isEmpty()
    }

    private fun jobDialect(item: BatchItem) = object : PlatformDialect by StubDialect() {
        override fun job(
            identifier: String,
            host: String,
            path: String,
            body: ByteArray,
        ) = BatchJob(JobIdentifier(identifier), host, path, listOf(item)).right()
    }

    private companion object {
        val BOUND = 10.seconds
        val NORTH = JobAccess.Member(WorkspaceName("north"))
    }
}
