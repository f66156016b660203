package org.zinniahoist.wire

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Region
import org.zinniahoist.model.Role
import strikt.api.expectThat
import strikt.assertions.isLessThan
import java.lang.management.ManagementFactory
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

internal class SlowReaderTest {
    /**
     * Guards against a writer that busy-loops while the kernel send buffer is full, as that of Ktor 3.3.0 does. A
     * process that sends a large frame to a slow peer must suspend without consuming processor time.
     */
    @Test
    fun `sending to a peer that does not read consumes little processor time`(): Unit = runBlocking {
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { unresponsivePeer ->
            val client = client(Endpoint("127.0.0.1", unresponsivePeer.localPort))
            client.start()
            unresponsivePeer.accept().use { socket ->
                socket.getOutputStream().write(frame(hello("peer")))
                delay(300.milliseconds)
                val before = processorNanoseconds()
                delay(OBSERVATION_TIME)
                val used = (processorNanoseconds() - before) / 1_000_000
                expectThat(used).isLessThan(OBSERVATION_TIME.inWholeMilliseconds / 2)
            }
            client.close()
        }
    }

    /** Guards against memory exhaustion by a few large frames that are queued for a peer that does not read. */
    @Test
    fun `the bytes queued for a peer that does not read are bounded`(): Unit = runBlocking {
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { unresponsivePeer ->
            val accepted = CompletableDeferred<Int>()
            val client = client(Endpoint("127.0.0.1", unresponsivePeer.localPort)) { link ->
                val message = ControlMessage.ReplicaTraffic("g", Random(1).nextBytes(1 shl 20))
                accepted.complete((1..100).count { link.offer(message) })
            }
            client.start()
            unresponsivePeer.accept().use { socket ->
                socket.getOutputStream().write(frame(hello("peer")))
                expectThat(accepted.await()).isLessThan(12)
            }
            client.close()
        }
    }

    private fun client(
        endpoint: Endpoint,
        onOpen: (LinkConnection) -> Unit = { link ->
            repeat(FRAMES) { link.offer(ControlMessage.ReplicaTraffic("g", ByteArray(FRAME_BYTES))) }
        },
    ): LinkClient {
        val handler = object : LinkHandler {
            override fun onOpen(link: LinkConnection) = onOpen(link)

            override suspend fun onMessage(link: LinkConnection, message: Message) = Unit

            override fun onClosed(link: LinkConnection, cause: LinkCloseCause) = Unit
        }
        val clock = { Moment(System.nanoTime()) }
        return LinkClient(endpoint, hello("self"), handler, ::HeartbeatContent, clock, Random(1))
    }

    private fun hello(name: String) = LinkMessage.Hello(
        LinkLimits.PROTOCOL_VERSION,
        InstanceName(name),
        Incarnation(1),
        FailureDomain("a", Region("r")),
        setOf(Role.CONTROL),
    )

    private fun frame(message: Message): ByteArray {
        val bytes = FrameCodec.encode(message)
        return java.nio.ByteBuffer.allocate(FrameCodec.PREFIX_BYTES + bytes.size).putInt(bytes.size).put(bytes).array()
    }

    private fun processorNanoseconds(): Long {
        val threads = ManagementFactory.getThreadMXBean()
        return threads.allThreadIds.sumOf { threads.getThreadCpuTime(it).coerceAtLeast(0) }
    }

    private companion object {
        val OBSERVATION_TIME = 1_000.milliseconds

        /** Exceeds the buffers of both sockets in total. */
        const val FRAMES = 8
        const val FRAME_BYTES = 3 shl 20
    }
}
