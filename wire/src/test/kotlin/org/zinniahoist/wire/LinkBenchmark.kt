package org.zinniahoist.wire

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.Moment
import java.lang.management.ManagementFactory
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val clock = { Moment(System.nanoTime()) }
private val limits = LinkLimits(
    heartbeatInterval = 400.milliseconds,
    silenceLimit = 1_500.milliseconds,
    checkInterval = 200.milliseconds,
    sendQueueFrames = 1_024,
)

/**
 * Measures the processor time of links over loopback, with both ends in this process. Arguments:
 *
 * - `idle LINKS SECONDS` measures idle links,
 * - `frames BYTES COUNT` measures consecutive frames of random bytes, after a warm-up of the same length,
 * - `parts BYTES COUNT` measures encoding, decoding and compression of a frame separately.
 */
internal fun main(arguments: Array<String>) {
    if (arguments[0] == "parts") return parts(arguments[1].toInt(), arguments[2].toInt())
    runBlocking { links(arguments) }
}

private suspend fun links(arguments: Array<String>) {
    val handler = RecordingHandler()
    val server = LinkServer(Endpoint("127.0.0.1", 0), hello("server"), handler, ::HeartbeatContent, clock, limits)
    val endpoint = server.start()
    val isIdle = arguments[0] == "idle"
    val clients = List(if (isIdle) arguments[1].toInt() else 1) {
        LinkClient(endpoint, hello("c$it"), RecordingHandler(), ::HeartbeatContent, clock, Random(it), limits)
            .apply { start() }
    }
    val links = clients.map { handler.opened.receive() }
    if (isIdle) idle(links.size, arguments[2].toInt()) else repeat(2) { frames(links[0], arguments[1], arguments[2]) }
    clients.forEach { it.close() }
    server.close()
}

private suspend fun idle(links: Int, seconds: Int) {
    delay(3.seconds)
    val before = processorNanoseconds()
    val byThread = threadNanoseconds()
    delay(seconds.seconds)
    val used = processorNanoseconds() - before
    println("idle links=$links seconds=$seconds us_per_session_second=${used / 1_000 / seconds / links / 2}")
    threadNanoseconds().mapValues { it.value - (byThread[it.key] ?: 0) }.entries.sortedBy { -it.value }.take(6)
        .forEach { println("  ${it.key} ms=${it.value / 1_000_000}") }
}

private suspend fun frames(link: LinkConnection, bytes: String, count: String) {
    val message = ControlMessage.ReplicaTraffic("service", Random(1).nextBytes(bytes.toInt()))
    val before = processorNanoseconds()
    repeat(count.toInt()) { check(link.send(message)) { "the link closed" } }
    while (link.unsent.frames > 0) delay(10.milliseconds)
    val used = processorNanoseconds() - before
    println("frames bytes=$bytes count=$count us_per_frame=${used / 1_000 / count.toInt()}")
}

private fun parts(bytes: Int, count: Int) {
    val message = ControlMessage.ReplicaTraffic("service", Random(1).nextBytes(bytes))
    val frame = FrameCodec.encode(message)
    repeat(2) {
        measureStage("encode", bytes, count) { FrameCodec.encode(message) }
        measureStage("decode", bytes, count) { FrameCodec.decode(frame) }
        measureStage("compress", bytes, count) { FrameCompression.compress(frame) }
    }
}

private fun measureStage(
    name: String,
    bytes: Int,
    count: Int,
    work: () -> Unit,
) {
    val before = processorNanoseconds()
    repeat(count) { work() }
    println("part=$name bytes=$bytes us=${(processorNanoseconds() - before) / 1_000 / count}")
}

private fun processorNanoseconds(): Long =
    (ManagementFactory.getOperatingSystemMXBean() as com.sun.management.OperatingSystemMXBean).processCpuTime

private fun threadNanoseconds(): Map<String, Long> {
    val threads = ManagementFactory.getThreadMXBean()
    return threads.allThreadIds.toList()
        .groupBy { (threads.getThreadInfo(it)?.threadName ?: "ended").substringBefore("-worker") }
        .mapValues { ids -> ids.value.sumOf { threads.getThreadCpuTime(it) } }
}
