package org.zinniahoist.operator

import com.linecorp.armeria.server.Server
import org.zinniahoist.daemon.control.ControlClient
import org.zinniahoist.daemon.control.ControlHttp
import org.zinniahoist.daemon.control.ControlResult
import org.zinniahoist.daemon.control.OperatorAccess
import org.zinniahoist.daemon.timeline.HybridClock
import org.zinniahoist.daemon.timeline.TimelineHttp
import org.zinniahoist.daemon.timeline.TimelineRecorder
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Revision
import org.zinniahoist.model.Role
import org.zinniahoist.settings.OfficeName
import org.zinniahoist.settings.OperatorName
import org.zinniahoist.state.coordination.CoordinationStateMachine
import org.zinniahoist.state.report.ProcessReport
import org.zinniahoist.state.report.StatusReport
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.net.InetSocketAddress
import java.nio.file.Path
import kotlin.io.path.writeText
import kotlin.time.Duration

/** What one run of the tool wrote and returned. */
internal data class ToolRun(
    val exitCode: ExitCode,
    val out: String,
    val error: String,
)

/** The tool with a control replica in memory behind the real HTTP API. */
internal class ToolFixture(private val folder: Path) : AutoCloseable {
    val control = MemoryCoordination()
    private val recorder = TimelineRecorder(InstanceName("c1"), HybridClock { 1 }, log = {})
    private val secured = mapOf(HASH_OF_SECRET to OperatorAccess(OperatorName("ana"), setOf(OfficeName("shared"))))
    private val servers = mutableListOf<Server>()
    val address = serve(null)
    val securedAddress = serve(secured)

    /** Revision in force in the process `e1`; null follows the tree. */
    @Volatile
    var revisionInForce: Long? = null

    private fun serve(operators: Map<String, OperatorAccess>?): String = server {
        ControlHttp(control, ::status, operators).configure(it)
        TimelineHttp(recorder).configure(it)
    }

    /** Starts a server and returns its address. */
    fun server(configure: (com.linecorp.armeria.server.ServerBuilder) -> Unit): String {
        val builder = Server.builder().http(InetSocketAddress("127.0.0.1", 0))
        configure(builder)
        val server = builder.build().also { it.start().join() }
        servers += server
        return "127.0.0.1:${server.activeLocalPort()}"
    }

    private fun status(): StatusReport {
        val revision = control.machine.tree.revision
        val processes = listOf("e1" to revisionInForce?.let { Revision(it) }, "s1" to null).map { (name, inForce) ->
            ProcessReport(
                InstanceName(name),
                setOf(Role.ENTRY),
                inForce ?: revision,
                heartbeatAgeMilliseconds = 100,
            )
        }
        return StatusReport.of(InstanceName("c1"), 0, revision, emptyList(), processes)
    }

    fun file(name: String, text: String): String = folder.resolve(name).also { it.writeText(text) }.toString()

    /** Runs the tool; the pause between polls takes no time. */
    fun run(vararg arguments: String): ToolRun {
        val out = ByteArrayOutputStream()
        val error = ByteArrayOutputStream()
        val code = runTool(arguments.toList(), PrintStream(out), PrintStream(error)) {}
        return ToolRun(code, out.toString(), error.toString())
    }

    fun apply(text: String, vararg options: String): ToolRun = run(
        "apply",
        file("tree.ini", text),
        "--control",
        address,
        "--operator",
        "ana",
        "--office",
        "shared",
        *options,
    )

    override fun close() = servers.map { it.stop() }.forEach { it.join() }

    companion object {
        /** SHA-256 of `secret`. */
        const val HASH_OF_SECRET = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"

        fun tree(attempts: Int): String = "[root]\noffice = shared\nretry.attempts = $attempts\n"
    }
}

/** The group `settings` without replicas. */
internal class MemoryCoordination : ControlClient {
    val machine = CoordinationStateMachine()
    private var index = 0L

    @Volatile
    var available = true

    /** Called once before the next command is applied. */
    @Volatile
    var beforeCommand: () -> Unit = {}

    /** Number of following commands whose answer is lost after they were applied. */
    @Volatile
    var lostAnswers = 0

    override suspend fun command(group: String, command: ByteArray, timeout: Duration): ControlResult {
        beforeCommand.also { beforeCommand = {} }()
        return synchronized(this) {
            if (!available) return ControlResult.NotApplied("no majority")
            val answer = machine.apply(++index, 1_000, command)
            if (lostAnswers-- > 0) ControlResult.OutcomeUnknown("link closed") else ControlResult.Answered(answer)
        }
    }

    override suspend fun query(group: String, query: ByteArray, timeout: Duration): ControlResult = synchronized(this) {
        if (available) {
            ControlResult.Answered(machine.query(1_000, query))
        } else {
            ControlResult.NotApplied("no majority")
        }
    }
}
