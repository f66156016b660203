package org.zinniahoist.gateway.core

import arrow.core.getOrElse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
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
import org.zinniahoist.gateway.dialect.OperatorCall
import org.zinniahoist.gateway.dialect.PlatformDialect
import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Region
import org.zinniahoist.model.Revision
import org.zinniahoist.model.Role
import org.zinniahoist.state.StateCodec
import org.zinniahoist.state.service.ServiceCommand
import org.zinniahoist.state.service.ServiceStateMachine
import org.zinniahoist.wire.LinkLimits
import org.zinniahoist.wire.LinkMessage
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.nio.file.Path
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests operators' calls about the machine "m", which retires and runs the only replica of its group. */
internal class OperatorHttpTest {
    @TempDir
    lateinit var folder: Path

    private val scope = CoroutineScope(Dispatchers.Default)
    private val machine = ServiceStateMachine(SilentListener)

    /** Called on the thread of the replica during each read, before it is answered. */
    @Volatile
    private var duringRead: () -> Unit = {}

    /** True once the replica has failed and no longer leads. */
    @Volatile
    private var hasFailed = false
    private val leader by lazy { openHost("leader", voters = 1) }
    private val follower by lazy { openHost("follower", voters = 2) }
    private val jobs = JobCallHandler(StubDialect(), machine) { if (hasFailed) follower else leader }

    @AfterEach
    fun close() {
        leader.close()
        follower.close()
        scope.cancel()
    }

    private fun openHost(name: String, voters: Int): GroupHost {
        val files = DiskFileStore(folder.resolve(name))
        val members = (1..voters).map {
            Member(ReplicaAddress(ReplicaIdentifier(it.toLong()), InstanceName("n$it")), voter = true)
        }
        GroupStorage.bootstrap(files, ReplicaIdentifier(1), Configuration(members), timeMilliseconds = 0)
        val opened = GroupStorage.open(files, ReplicaIdentifier(1)).getOrElse { error(it.message) }
        return GroupHost("test", INSTANCE, ObservedMachine(), opened, { _, _ -> })
    }

    private inner class ObservedMachine : StateMachine by machine {
        override fun query(timeMilliseconds: Long, query: ByteArray): ByteArray {
            duringRead()
            return machine.query(timeMilliseconds, query)
        }
    }

    /** Accepts a configuration and then the retirement. Returns the state between these commands. */
    private suspend fun retire(): ByteArray {
        withTimeout(BOUND) { while (!leader.status.isLeader) delay(1.milliseconds) }
        propose(ServiceCommand.AcceptConfiguration(Revision(1), ByteArray(0)))
        return machine.snapshot().also { propose(ServiceCommand.RetireInstance("m", INSTANCE)) }
    }

    private suspend fun propose(command: ServiceCommand) {
        leader.propose(StateCodec.encode(command)).await()
    }

    private suspend fun statusOf(call: OperatorCall): HttpStatus {
        val dialect = object : PlatformDialect by StubDialect() {
            override fun operatorCall(method: String, path: String) = call

            override fun retirement(isComplete: Boolean) = ByteArray(0)
        }
        val links = CoreLinks("m", HELLO, jobs, scope, silentCrashReports(scope)) { Moment(0) }
        val retirements = Retirements(leader, targetVoters = 1)
        val service = OperatorHttp(dialect, jobs, machine, leader, links, retirements, scope, port = 1)
        val request = HttpRequest.of(HttpMethod.GET, "/")
        return service.serve(ServiceRequestContext.of(request), request).aggregate().await().status()
    }

    /** Guards against an operator who is told that a machine does not retire, by a replica that replays its log. */
    @Test
    fun `a replica that replays its log does not report a retirement as unknown`(): Unit = runBlocking {
        val earlierState = retire()
        expectThat(statusOf(OperatorCall.ReadRetirement("m"))).isEqualTo(HttpStatus.OK)
        duringRead = {
            machine.restore(earlierState)
            hasFailed = true
        }
        expectThat(statusOf(OperatorCall.ReadRetirement("m"))).isEqualTo(HttpStatus.SERVICE_UNAVAILABLE)
    }

    /** Guards against the refusal of a retirement that was accepted before, by a leader that has not yet applied it. */
    @Test
    fun `a new leader accepts a retirement again that it has not applied yet`(): Unit = runBlocking {
        val earlierState = retire()
        val newestState = machine.snapshot()
        machine.restore(earlierState)
        duringRead = { machine.restore(newestState) }
        expectThat(statusOf(OperatorCall.Retire("m"))).isEqualTo(HttpStatus.OK)
    }

    private companion object {
        val BOUND = 10.seconds
        val INSTANCE = InstanceName("n1")
        val HELLO = LinkMessage.Hello(
            protocolVersion = LinkLimits.PROTOCOL_VERSION,
            instance = INSTANCE,
            incarnation = Incarnation(1),
            failureDomain = FailureDomain("d", Region("r")),
            roles = setOf(Role.CONTROL),
        )
    }
}
