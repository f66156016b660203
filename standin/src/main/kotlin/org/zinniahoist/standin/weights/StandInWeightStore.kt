package org.zinniahoist.standin.weights

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpResponseWriter
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.ServerBuilder
import kotlinx.serialization.Serializable
import org.zinniahoist.standin.StandInClock
import org.zinniahoist.standin.http.StandInServer
import org.zinniahoist.standin.http.errorResponse
import org.zinniahoist.standin.http.jsonResponse
import java.net.URI
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A version in the list of the weight store. */
@Serializable
public data class StoredVersion(
    public val model: String,
    public val version: Long,
    public val bytes: Long,
    public val withdrawn: Boolean = false,
)

/** Test double of a weight store whose downloads share [bytesPerSecond] on the store's clock. */
public class StandInWeightStore(
    private val bytesPerSecond: Long,
    clockRate: Double = 1.0,
) : AutoCloseable {
    private val clock = StandInClock(clockRate)
    private val server = StandInServer(::addRoutes)
    private val versions = ConcurrentHashMap<Pair<String, Long>, StoredVersion>()
    private val sent = AtomicLong()
    private var nextSend = Duration.ZERO

    /** Base address, for example `http://127.0.0.1:40123`. */
    public val address: URI get() = server.address

    /** Number of bytes sent for all downloads together. */
    public val sentBytes: Long get() = sent.get()

    /** Starts the store. */
    public fun start(): StandInWeightStore {
        server.start()
        return this
    }

    /** Adds a version of [bytes] bytes. */
    public fun publish(model: String, version: Long, bytes: Long) {
        versions[model to version] = StoredVersion(model, version, bytes)
    }

    /** Marks a version as withdrawn; new downloads of it are answered with 410. */
    public fun withdraw(model: String, version: Long) {
        versions.computeIfPresent(model to version) { _, stored -> stored.copy(withdrawn = true) }
    }

    override fun close(): Unit = server.close()

    private fun addRoutes(builder: ServerBuilder) {
        builder.service("/weights") { _, _ ->
            jsonResponse(mapOf("versions" to versions.values.sortedWith(compareBy({ it.model }, { it.version }))))
        }
        builder.service("/weights/{model}/{version}") { context, _ ->
            val version = context.pathParam("version")?.toLongOrNull()
            val stored = version?.let { versions[context.pathParam("model").orEmpty() to it] }
            when {
                stored == null -> errorResponse(HttpStatus.NOT_FOUND, "unknown version")
                stored.withdrawn -> errorResponse(HttpStatus.GONE, "withdrawn version")
                else -> HttpResponse.streaming().also { writer ->
                    context.blockingTaskExecutor().execute { send(writer, stored.bytes) }
                }
            }
        }
    }

    private fun send(writer: HttpResponseWriter, bytes: Long) {
        writer.write(ResponseHeaders.of(HttpStatus.OK, "content-type", MediaType.OCTET_STREAM.toString()))
        var remaining = bytes
        while (remaining > 0 && writer.isOpen) {
            val size = minOf(remaining, CHUNK_BYTES).toInt()
            clock.sleepUntil(reserve(size))
            if (writer.tryWrite(HttpData.wrap(ByteArray(size)))) sent.addAndGet(size.toLong())
            remaining -= size
        }
        writer.close()
    }

    /** Returns the time at which [size] more bytes may have been sent by all downloads together. */
    @Synchronized
    private fun reserve(size: Int): Duration {
        nextSend = maxOf(nextSend, clock.now()) + (size.toDouble() / bytesPerSecond).seconds
        return nextSend
    }

    private companion object {
        private const val CHUNK_BYTES = 16_384L
    }
}
