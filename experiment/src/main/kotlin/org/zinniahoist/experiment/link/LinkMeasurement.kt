package org.zinniahoist.experiment.link

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.HdrHistogram.Histogram
import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.CallerName
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Region
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.Role
import org.zinniahoist.model.Verdict
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.wire.AttemptMessage
import org.zinniahoist.wire.FrameCodec
import org.zinniahoist.wire.HeartbeatContent
import org.zinniahoist.wire.LinkClient
import org.zinniahoist.wire.LinkCloseCause
import org.zinniahoist.wire.LinkConnection
import org.zinniahoist.wire.LinkHandler
import org.zinniahoist.wire.LinkLimits
import org.zinniahoist.wire.LinkMessage
import org.zinniahoist.wire.LinkServer
import org.zinniahoist.wire.Message
import org.zinniahoist.wire.RequestOrigin
import org.zinniahoist.wire.UpstreamCall
import java.util.UUID
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/** Measures one link on loopback between two ends in this process: short requests, then streamed tokens. */
public fun main(arguments: Array<String>) {
    val parser = ArgParser("link")
    val seed by parser.option(ArgType.Int, description = "seed of the request bodies").default(1)
    val requests by parser.option(ArgType.Int, description = "requests of each run").default(100_000)
    val tokens by parser.option(ArgType.Int, description = "tokens of each stream").default(1_000)
    parser.parse(arguments)
    runBlocking(Dispatchers.Default) {
        val measurement = LinkMeasurement(Random(seed))
        measurement.open()
        measurement.run("warm-up", requests, CONCURRENT, chunks = 1)
        for (concurrency in listOf(1, 16, CONCURRENT)) {
            measurement.run("short", if (concurrency == 1) requests / 5 else requests, concurrency, chunks = 1)
        }
        measurement.run("stream", requests / tokens, CONCURRENT, tokens)
        measurement.close()
    }
}

private const val CONCURRENT = 128

/** Starts attempts over a link whose other end answers at once. */
private class LinkMeasurement(private val random: Random) : LinkHandler {
    private val opened = CompletableDeferred<LinkConnection>()
    private val waiting = ConcurrentHashMap<AttemptIdentifier, CompletableDeferred<Unit>>()
    private val clock = { Moment(System.nanoTime()) }
    private val server =
        LinkServer(Endpoint("127.0.0.1", 0), hello("sidecar"), Answerer, { HeartbeatContent() }, clock)
    private lateinit var client: LinkClient

    suspend fun open() {
        client = LinkClient(server.start(), hello("entry"), this, { HeartbeatContent() }, clock, Random(1))
        client.start()
        opened.await()
    }

    suspend fun run(
        name: String,
        requests: Int,
        concurrency: Int,
        chunks: Int,
    ) {
        val histogram = Histogram(3)
        val left = AtomicInteger(requests)
        val begin = System.nanoTime()
        coroutineScope {
            repeat(concurrency) {
                launch { while (left.getAndDecrement() > 0) request(chunks, histogram) }
            }
        }
        val seconds = (System.nanoTime() - begin) / 1e9
        val bytes =
            FrameCodec.encode(start(chunks)).size + chunks * FrameCodec.encode(Answerer.chunk(ATTEMPT, 0)).size +
                FrameCodec.encode(Answerer.end(ATTEMPT, chunks)).size + (2 + chunks) * FrameCodec.PREFIX_BYTES
        println(
            "run=$name concurrency=$concurrency requests=$requests chunks=$chunks " +
                "requests_per_second=${(requests / seconds).toInt()} " +
                "chunks_per_second=${(requests * chunks.toLong() / seconds).toLong()} bytes_per_request=$bytes " +
                listOf(50.0, 99.0, 99.9).joinToString(" ") {
                    "p${it.toString().removeSuffix(".0")}_us=${histogram.getValueAtPercentile(it) / 1_000}"
                },
        )
    }

    suspend fun close() {
        client.stop("done")
        server.stop("done")
    }

    private suspend fun request(chunks: Int, histogram: Histogram) {
        // The random number generator is not safe for use by several threads.
        val start = synchronized(random) { start(chunks) }
        val done = CompletableDeferred<Unit>()
        waiting[start.attempt] = done
        val begin = System.nanoTime()
        check(opened.await().send(start)) { "the link closed" }
        done.await()
        synchronized(histogram) { histogram.recordValue(System.nanoTime() - begin) }
    }

    private fun start(chunks: Int) = AttemptMessage.StartAttempt(
        AttemptIdentifier(UUID(random.nextLong(), random.nextLong()).toString()),
        RequestIdentifier(UUID(random.nextLong(), random.nextLong()).toString()),
        1,
        60_000,
        RequestOrigin.Live(CallerName("shop")),
        UpstreamCall("POST", "/confirm", "application/json", random.nextBytes(BODY_BYTES)),
        random.nextLong(),
        credit = chunks,
    )

    override fun onOpen(link: LinkConnection) {
        opened.complete(link)
    }

    override suspend fun onMessage(link: LinkConnection, message: Message) {
        if (message is AttemptMessage.AttemptEnd) waiting.remove(message.attempt)?.complete(Unit)
    }

    override fun onClosed(link: LinkConnection, cause: LinkCloseCause): Unit = Unit

    private companion object {
        /** Size of a basket confirmation. */
        const val BODY_BYTES = 256
        val ATTEMPT = AttemptIdentifier(UUID(0, 0).toString())

        fun hello(name: String) = LinkMessage.Hello(
            LinkLimits.PROTOCOL_VERSION,
            InstanceName(name),
            Incarnation(1),
            FailureDomain("a", Region("r")),
            setOf(Role.ENTRY),
        )
    }
}

/** The other end: answers each start with as many chunks as it has credit. */
private object Answerer : LinkHandler {
    private val event = """{"choices":[{"text":" token"}],"weight_version":7,"tokens":1}""".toByteArray()

    fun chunk(attempt: AttemptIdentifier, sequence: Int) =
        AttemptMessage.AttemptChunk(attempt, sequence, event, 1, WeightVersion(7))

    fun end(attempt: AttemptIdentifier, chunks: Int) =
        AttemptMessage.AttemptEnd(attempt, Verdict.Completed, chunks, 200, "application/json")

    override fun onOpen(link: LinkConnection): Unit = Unit

    override suspend fun onMessage(link: LinkConnection, message: Message) {
        if (message !is AttemptMessage.StartAttempt) return
        repeat(message.credit) { link.send(chunk(message.attempt, it)) }
        link.send(end(message.attempt, message.credit))
    }

    override fun onClosed(link: LinkConnection, cause: LinkCloseCause): Unit = Unit
}
