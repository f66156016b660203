package org.zinniahoist.gateway.connections

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.Server
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.gateway.upstream.HeapBudget
import org.zinniahoist.gateway.upstream.awaitCondition
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.Moment
import org.zinniahoist.policy.connections.ConnectionLimits
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.io.IOException
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests what clients that do not wait, do not read or do not send can make one address of a process hold. */
internal class ClientConnectionsTest {
    private val metrics = GatewayMetrics()
    private val served = CopyOnWriteArrayList<String>()
    private val underWay = AtomicInteger()
    private val mostUnderWay = AtomicInteger()
    private val release = CompletableFuture<Unit>()
    private lateinit var connections: ClientConnections
    private lateinit var server: Server
    private val sockets = ArrayList<Socket>()

    @AfterEach
    fun close() {
        release.complete(Unit)
        sockets.forEach { it.close() }
        server.stop().join()
    }

    private val service = HttpService { context, request ->
        mostUnderWay.accumulateAndGet(underWay.incrementAndGet(), ::maxOf)
        context.log().whenComplete().thenRun { underWay.decrementAndGet() }
        val path = request.path()
        served += path
        HttpResponse.of(
            request.aggregate().thenCombine(if (path == "/held") release else DONE) { body, _ ->
                val content = if (path == "/large") LARGE else HttpData.ofUtf8("${body.content().length()}\n")
                HttpResponse.of(ResponseHeaders.of(HttpStatus.OK), content)
            },
        )
    }

    private fun start(limits: ConnectionLimits = ConnectionLimits(8), inputBytes: Long = 1 shl 20) {
        val clock = { Moment(System.nanoTime()) }
        connections = ClientConnections("clients", limits, HeapBudget(inputBytes), "x-request", metrics, clock)
        server = connections.newServer(Endpoint(HOST, 0), service).build().also { it.start().join() }
    }

    private fun connect() = Socket(HOST, server.activeLocalPort()).also {
        it.soTimeout = TIMEOUT.inWholeMilliseconds.toInt()
        sockets += it
    }

    private fun Socket.send(text: String) = getOutputStream().write(text.toByteArray())

    private fun Socket.readHead(): String {
        val lines = StringBuilder()
        while (!lines.endsWith("\r\n\r\n")) lines.append(getInputStream().read().also { check(it >= 0) }.toChar())
        return lines.toString()
    }

    /** Reads a whole response, or throws if the connection ends. */
    private fun Socket.readResponse(): String {
        val head = readHead()
        val length = Regex("content-length: (\\d+)").find(head)?.groupValues?.get(1)?.toInt() ?: 0
        return head + String(getInputStream().readNBytes(length))
    }

    private fun Socket.isEnded(): Boolean = try {
        getInputStream().read() < 0
    } catch (_: IOException) {
        true
    }

    private fun closures(outcome: String) = metrics.text().lines()
        .firstOrNull { "connection_closed" in it && outcome in it }?.substringAfterLast(' ')?.toDouble() ?: 0.0

    /** Guards against requests sent ahead that all run at once, and against losing or mixing up their responses. */
    @Test
    fun `requests sent ahead are served one after the other`() {
        start()
        val socket = connect()
        val bodies = List(40) { "x".repeat(it * 1_000) }
        val requests = bodies.mapIndexed { index, body ->
            if (index % 2 == 0) {
                post("/$index", "content-length: ${body.length}", body)
            } else {
                post("/$index", "transfer-encoding: chunked", "${body.length.toString(16)}\r\n$body\r\n0\r\n\r\n")
            }
        }
        Thread { socket.send(requests.joinToString("")) }.start()
        bodies.forEach { expectThat(socket.readResponse().substringAfter("\r\n\r\n")).isEqualTo("${it.length}\n") }
        expectThat(served.toList()).isEqualTo(bodies.indices.map { "/$it" })
        expectThat(mostUnderWay.get()).isEqualTo(1)
    }

    /** Guards against reading what a client sends ahead while a response is due. */
    @Test
    fun `a connection with a request ahead is not read`() {
        start()
        val socket = connect()
        val sent = AtomicInteger()
        socket.sendBufferSize = 65_536
        val request = get("/held")
        Thread {
            runCatching {
                while (true) {
                    socket.send(request.repeat(100))
                    sent.addAndGet(request.length * 100)
                }
            }
        }.start()
        expectThat(awaitCondition(TIMEOUT) { sent.get() > 0 && underWay.get() == 1 }).isTrue()
        Thread.sleep(500)
        val before = sent.get()
        Thread.sleep(500)
        expectThat(sent.get()).isEqualTo(before)
        expectThat(mostUnderWay.get()).isEqualTo(1)
    }

    /** Guards against a connection that is not read while a request is under way, so that its end goes unnoticed. */
    @Test
    fun `the end of a connection cancels its request`() {
        start()
        connect().use {
            it.send(get("/held"))
            expectThat(awaitCondition(TIMEOUT) { underWay.get() == 1 }).isTrue()
        }
        expectThat(awaitCondition(TIMEOUT) { underWay.get() == 0 }).isTrue()
        expectThat(awaitCondition(TIMEOUT) { connections.size == 0 }).isTrue()
    }

    /** Guards against a connection that waits forever for a response that the library gives by itself. */
    @Test
    fun `a request that the library refuses does not block its connection`() {
        start()
        val socket = connect()
        socket.send("POST /a HTTP/1.1\r\nhost: h\r\nexpect: other\r\ncontent-length: 2\r\n\r\nab$GET")
        val first = socket.readResponse()
        expectThat(first.startsWith("HTTP/1.1 417") || first.startsWith("HTTP/1.1 200")).isTrue()
        expectThat("connection: close" in first || "HTTP/1.1 200" in socket.readResponse()).isTrue()
    }

    /** Guards against refusing the largest body and the longest head that operators allow. */
    @Test
    fun `the largest request passes`() {
        start()
        val socket = connect()
        val length = 32 shl 20
        val field = "a".repeat(250_000)
        Thread {
            socket.send("POST /body HTTP/1.1\r\nhost: h\r\nx-long: $field\r\ncontent-length: $length\r\n\r\n")
            socket.getOutputStream().write(ByteArray(length))
        }.start()
        expectThat(socket.readResponse().substringAfter("\r\n\r\n")).isEqualTo("$length\n")
    }

    /** Guards against responses that are held for as long as a client likes. */
    @Test
    fun `a connection with an unread response is closed and a slow reader is not`() {
        start(ConnectionLimits(8, unreadTimeout = 1.seconds))
        connect().send(get("/large"))
        val slow = connect().also { it.send(get("/large")) }
        slow.readHead()
        var missing = LARGE.length()
        while (missing > 0) {
            val count = slow.getInputStream().readNBytes(minOf(missing, 200_000)).size
            check(count > 0) { "the connection of the slow reader has ended, $missing bytes are missing" }
            missing -= count
            Thread.sleep(100)
        }
        expectThat(awaitCondition(TIMEOUT) { connections.size == 1 }).isTrue()
        expectThat(closures("unread_response")).isEqualTo(1.0)
        slow.send(GET)
        expectThat(slow.readResponse()).contains("200")
    }

    /** Guards against heads that are held although their rest never comes. */
    @Test
    fun `a connection with half a head is closed`() {
        start(ConnectionLimits(8, headTimeout = 300.milliseconds, unreadTimeout = 300.milliseconds))
        val idle = connect()
        val half = connect().also { it.send("GET / HTTP/1.1\r\nhos") }
        expectThat(half.isEnded()).isTrue()
        expectThat(closures("partial_head")).isEqualTo(1.0)
        idle.send(GET)
        expectThat(idle.readResponse()).contains("200")
    }

    /** Guards against incomplete heads that together fill the memory. */
    @Test
    fun `a connection whose input finds no room is closed`() {
        start(inputBytes = 300_000)
        val sockets = List(4) { connect() }
        sockets.forEach { it.send("GET / HTTP/1.1\r\nhost: h\r\nx: ${"a".repeat(150_000)}") }
        expectThat(awaitCondition(TIMEOUT) { closures("input_memory") >= 2 }).isTrue()
        sockets.forEach { it.close() }
        expectThat(awaitCondition(TIMEOUT) { connections.size == 0 }).isTrue()
        val next = connect().also { it.send(GET) }
        expectThat(next.readResponse()).contains("200")
    }

    /** Guards against a crowd of idle connections that keeps ordinary clients out, and against closing busy ones. */
    @Test
    fun `a new connection takes the place of the one that is idle for longest`() {
        start(ConnectionLimits(2, reclaimableAfter = 200.milliseconds))
        val busy = connect().also { it.send(get("/held")) }
        expectThat(awaitCondition(TIMEOUT) { underWay.get() == 1 }).isTrue()
        val idle = connect()
        expectThat(awaitCondition(TIMEOUT) { connections.size == 2 }).isTrue()
        expectThat(connect().isEnded()).isTrue()
        Thread.sleep(300)
        val next = connect().also { it.send(GET) }
        expectThat(next.readResponse()).contains("200")
        expectThat(idle.isEnded()).isTrue()
        release.complete(Unit)
        expectThat(busy.readResponse()).contains("200")
    }

    private companion object {
        const val HOST = "127.0.0.1"
        val TIMEOUT = 10.seconds
        val DONE: CompletableFuture<Unit> = CompletableFuture.completedFuture(Unit)
        val LARGE: HttpData = HttpData.wrap(ByteArray(16 shl 20))

        val GET: String = get("/")

        fun get(path: String) = "GET $path HTTP/1.1\r\nhost: h\r\n\r\n"

        fun post(path: String, field: String, body: String) = "POST $path HTTP/1.1\r\nhost: h\r\n$field\r\n\r\n$body"
    }
}
