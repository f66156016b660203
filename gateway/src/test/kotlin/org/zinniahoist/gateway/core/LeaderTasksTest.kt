package org.zinniahoist.gateway.core

import arrow.core.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.zinniahoist.consensus.Configuration
import org.zinniahoist.consensus.DiskFileStore
import org.zinniahoist.consensus.GroupHost
import org.zinniahoist.consensus.GroupStatus
import org.zinniahoist.consensus.GroupStorage
import org.zinniahoist.consensus.Member
import org.zinniahoist.consensus.ReplicaAddress
import org.zinniahoist.consensus.ReplicaIdentifier
import org.zinniahoist.gateway.dialect.ListPage
import org.zinniahoist.gateway.dialect.OutboundPaths
import org.zinniahoist.gateway.dialect.PlatformDialect
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.gateway.upstream.CrashMonitor
import org.zinniahoist.gateway.upstream.RawUpstream
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Region
import org.zinniahoist.model.Revision
import org.zinniahoist.model.Role
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.policy.liveness.LeavingUpstreams
import org.zinniahoist.policy.routes.RouteTable
import org.zinniahoist.policy.routes.ServiceConfiguration
import org.zinniahoist.settings.GatewayRole
import org.zinniahoist.settings.GatewaySettings
import org.zinniahoist.state.StateCodec
import org.zinniahoist.state.service.BatchJob
import org.zinniahoist.state.service.JobIdentifier
import org.zinniahoist.state.service.ServiceCommand
import org.zinniahoist.state.service.ServiceStateMachine
import org.zinniahoist.wire.LinkLimits
import org.zinniahoist.wire.LinkMessage
import strikt.api.expectThat
import strikt.assertions.doesNotContain
import strikt.assertions.isTrue
import java.nio.file.Path
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Tests the work of a replica that leads twice, with one upstream and a job that is submitted in between. */
internal class LeaderTasksTest {
    @TempDir
    lateinit var folder: Path

    private val scope = CoroutineScope(Dispatchers.Default)
    private val thread = EngineThread(onFailure = {})
    private val machine = ServiceStateMachine(SilentListener)
    private val metrics = GatewayMetrics()
    private val events = CopyOnWriteArrayList<String>()

    /** While set, the platform's list isn't answered until this is released. */
    @Volatile
    private var listGate: CountDownLatch? = null

    @Volatile
    private var clockOffset: Duration = Duration.ZERO
    private val clock = { Moment(System.nanoTime()) + clockOffset }
    private val list = RawUpstream {
        listGate?.let {
            events += LIST_HELD
            it.await()
        }
        events += LIST_ANSWERED
        text("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}")
    }
    private val upstream = RawUpstream { events += ITEM_RUN }
    private val host by lazy { openHost() }

    @AfterEach
    fun close() {
        listGate?.countDown()
        scope.cancel()
        thread.close()
        host.close()
        list.close()
        upstream.close()
    }

    private inner class Dialect : PlatformDialect by StubDialect() {
        override val paths = object : OutboundPaths {
            override val report = StubDialect.REPORT
            override val order = StubDialect.ORDER

            override fun list(token: String?): String = "/list"
        }

        override fun listPage(body: ByteArray): ListPage {
            val listed = ListedUpstream(
                UpstreamIdentity("u"),
                EngineFixture.SERVICE,
                upstream.endpoint,
                failureDomain = "a",
                slots = 1,
                isLeaving = false,
            )
            return ListPage(listOf(listed), unreadable = 0, nextToken = null)
        }
    }

    private fun openHost(): GroupHost {
        val files = DiskFileStore(folder)
        val members = listOf(Member(ReplicaAddress(ReplicaIdentifier(1), INSTANCE), voter = true))
        GroupStorage.bootstrap(files, ReplicaIdentifier(1), Configuration(members), timeMilliseconds = 0)
        val opened = GroupStorage.open(files, ReplicaIdentifier(1)).getOrElse { error(it.message) }
        return GroupHost("test", INSTANCE, machine, opened, { _, _ -> })
    }

    private fun tasks(): LeaderTasks {
        val dialect = Dialect()
        val jobs = JobCallHandler(dialect, machine) { host }
        val links = CoreLinks("m", HELLO, jobs, scope, silentCrashReports(scope), clock)
        val crashes = CrashMonitor({ false }, { false }, scope, clock, metrics) {}
        val settings = settings(list.endpoint)
        val leaving = LeavingUpstreams()
        return LeaderTasks(settings, dialect, machine, jobs, links, scope, thread, clock, metrics, crashes, leaving) {
            host
        }
    }

    /** Ticks [tasks] with [status] until [condition] holds; returns false if it fails within [BOUND]. */
    private fun eventually(tasks: LeaderTasks, status: () -> GroupStatus, condition: () -> Boolean): Boolean {
        val end = System.nanoTime() + BOUND.inWholeNanoseconds
        while (!condition() && System.nanoTime() < end) {
            thread.post { tasks.tick(status()) }
            Thread.sleep(PAUSE_MILLISECONDS)
        }
        return condition()
    }

    private fun submit() {
        val job = BatchJob(JobIdentifier("j"), "h", "/s/", listOf(EngineFixture.item("a")))
        host.propose(StateCodec.encode<ServiceCommand>(ServiceCommand.SubmitJob(job))).join()
    }

    /** Guards against items that are sent to upstreams which are gone since the replica led the last time. */
    @Test
    fun `a replica that leads again runs no item before it has read the list`() {
        val tasks = tasks()
        val configuration = ServiceConfiguration(Revision(1), listOf(EngineFixture.route()), emptyList(), limits = null)
        tasks.onRoutes { RouteTable(configuration) }
        tasks.start()
        expectThat(eventually(tasks, { host.status }) { LIST_ANSWERED in events }).isTrue()
        val gate = CountDownLatch(1)
        listGate = gate
        expectThat(eventually(tasks, { host.status }) { LIST_HELD in events }).isTrue()
        val first = host.status
        thread.post { tasks.tick(first.copy(isLeader = false)) }
        submit()
        clockOffset = 1.minutes
        val ticksUntil = System.nanoTime() + ACTIVATION_TIME.inWholeNanoseconds
        val second = first.copy(term = first.term + 1)
        eventually(tasks, { second }) { System.nanoTime() > ticksUntil }
        expectThat(events).doesNotContain(ITEM_RUN)
        listGate = null
        gate.countDown()
        expectThat(eventually(tasks, { second }) { ITEM_RUN in events }).isTrue()
    }

    private companion object {
        const val LIST_ANSWERED = "list answered"
        const val LIST_HELD = "list held"
        const val ITEM_RUN = "item run"
        const val PAUSE_MILLISECONDS = 10L
        val BOUND = 10.seconds

        /** Well above the time within which a leader becomes active. */
        val ACTIVATION_TIME = 1.seconds
        val INSTANCE = InstanceName("n1")
        val HELLO = LinkMessage.Hello(
            protocolVersion = LinkLimits.PROTOCOL_VERSION,
            instance = INSTANCE,
            incarnation = Incarnation(1),
            failureDomain = FailureDomain("d", Region("r")),
            roles = setOf(Role.CONTROL),
        )

        fun settings(list: Endpoint) = GatewaySettings(
            machine = "m",
            role = GatewayRole.CORE,
            failureDomain = "a",
            region = "r",
            address = "127.0.0.1",
            linkPort = 1,
            dataFolder = null,
            clients = null,
            readiness = null,
            operators = null,
            seeds = emptyList(),
            firstStart = true,
            toleratedLosses = 0,
            listEndpoint = list,
            grace = 2.seconds,
            orderLease = 1.seconds,
        )
    }
}
