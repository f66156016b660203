package org.zinniahoist.gateway.core

import arrow.core.Either
import arrow.core.right
import com.linecorp.armeria.client.BlockingWebClient
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpStatus
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.zinniahoist.gateway.dialect.OperatorCall
import org.zinniahoist.gateway.dialect.OutboundPaths
import org.zinniahoist.gateway.dialect.PlatformDialect
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Region
import org.zinniahoist.model.Revision
import org.zinniahoist.model.Role
import org.zinniahoist.policy.routes.ConfigurationFault
import org.zinniahoist.policy.routes.ServiceConfiguration
import org.zinniahoist.wire.HeartbeatContent
import org.zinniahoist.wire.LinkCloseCause
import org.zinniahoist.wire.LinkConnection
import org.zinniahoist.wire.LinkHandler
import org.zinniahoist.wire.LinkLimits
import org.zinniahoist.wire.LinkMessage
import org.zinniahoist.wire.LinkServer
import org.zinniahoist.wire.Message
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import strikt.assertions.startsWith
import java.net.Socket
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit.MILLISECONDS
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests the start, the reload and the stop of a core that is the only replica of its group. */
class CoreStartTest {
    @TempDir
    lateinit var folder: Path

    private val operators = Endpoint(SingleCore.HOST, SingleCore.freePort())
    private val decoded = AtomicInteger()

    private fun core(linkPort: Int) =
        CoreProcess(SingleCore.settings(folder, operators, linkPort), Dialect(), ::now, ::error)

    private fun await(call: (BlockingWebClient) -> AggregatedHttpResponse) {
        val client = WebClient.of("h1c://$operators").blocking()
        val end = System.nanoTime() + BOUND.inWholeNanoseconds
        while (runCatching { call(client).status() }.getOrNull() != HttpStatus.OK) {
            check(System.nanoTime() < end) { "no successful response within $BOUND" }
            Thread.sleep(20)
        }
    }

    /** Guards against a slow start because every configuration in the log is decoded instead of only the latest. */
    @Test
    fun `a starting core decodes only the configuration in force`() {
        val linkPort = SingleCore.freePort()
        val first = core(linkPort)
        first.start()
        repeat(CONFIGURATIONS) { number -> await { it.post(CONFIGURE, "${number + 1}") } }
        first.stop()
        decoded.set(0)
        val second = core(linkPort)
        second.start()
        await { it.get(READ) }
        Thread.sleep(ACTIVATION_TIME.inWholeMilliseconds)
        val newest = WebClient.of("h1c://$operators").blocking().get(READ).contentUtf8()
        expectThat(newest).isEqualTo("$CONFIGURATIONS")
        expectThat(decoded.get()).isLessThanOrEqualTo(2)
        second.stop()
    }

    /** Guards against a planned stop that cuts off calls of operators that have just arrived. */
    @Test
    fun `a core that stops answers the calls that it has received`() {
        val core = core(SingleCore.freePort())
        core.start()
        await { it.post(CONFIGURE, "1") }
        Socket(operators.host, operators.port).use { socket ->
            socket.soTimeout = BOUND.inWholeMilliseconds.toInt()
            val head = "POST $CONFIGURE HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\n\r\n"
            socket.getOutputStream().write(head.encodeToByteArray())
            val stopping = thread { core.stop() }
            Thread.sleep(UPLOAD_TIME.inWholeMilliseconds)
            socket.getOutputStream().write("2".encodeToByteArray())
            expectThat(socket.getInputStream().bufferedReader().readLine()).isNotNull().startsWith("HTTP/1.1 ")
            stopping.join()
        }
    }

    /** Guards against a core that finds its group never again, because all cores in its settings have been replaced. */
    @Test
    fun `a core dials a seed that only its changed settings name`() {
        val linkPort = SingleCore.freePort()
        val opened = CountDownLatch(1)
        val seed = LinkServer(Endpoint(SEED_HOST, linkPort), hello(linkPort), Seed(opened), ::HeartbeatContent, ::now)
        runBlocking { seed.start() }
        val core = core(linkPort)
        core.start()
        core.reload(
            SingleCore.settings(folder, operators, linkPort).copy(seeds = listOf(operators.copy(host = SEED_HOST))),
        )
        expectThat(opened.await(BOUND.inWholeMilliseconds, MILLISECONDS)).isTrue()
        core.stop()
        seed.close()
    }

    private fun now() = Moment(System.nanoTime())

    private fun hello(linkPort: Int) = LinkMessage.Hello(
        LinkLimits.PROTOCOL_VERSION,
        InstanceName("$SEED_HOST:$linkPort"),
        Incarnation(1),
        FailureDomain("b", Region("r")),
        setOf(Role.CONTROL),
    )

    /** A core that only accepts links. */
    private class Seed(private val opened: CountDownLatch) : LinkHandler {
        override fun onOpen(link: LinkConnection): Unit = opened.countDown()

        override suspend fun onMessage(link: LinkConnection, message: Message) = Unit

        override fun onClosed(link: LinkConnection, cause: LinkCloseCause) = Unit
    }

    private inner class Dialect : PlatformDialect by StubDialect() {
        override val paths = object : OutboundPaths {
            override val report = StubDialect.REPORT
            override val order = StubDialect.ORDER

            override fun list(token: String?): String = "/list"
        }

        override fun operatorCall(method: String, path: String): OperatorCall =
            if (path == CONFIGURE) OperatorCall.Configure else OperatorCall.ReadConfiguration

        override fun configuration(document: ByteArray): Either<ConfigurationFault, ServiceConfiguration> {
            decoded.incrementAndGet()
            val revision = Revision(document.decodeToString().toLong())
            return ServiceConfiguration(revision, emptyList(), emptyList(), limits = null).right()
        }
    }

    private companion object {
        const val SEED_HOST = "127.0.0.2"
        const val CONFIGURE = "/configure"
        const val READ = "/read"
        const val CONFIGURATIONS = 30
        val BOUND = 20.seconds

        /** Well above the two ticks of 50 ms within which a leader becomes active. */
        val ACTIVATION_TIME = 500.milliseconds

        /** Longer than a core waits before it closes its address for operators. */
        val UPLOAD_TIME = 400.milliseconds
    }
}
