package org.zinniahoist.standin.service

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.serialization.Serializable
import org.zinniahoist.standin.StandInClock
import org.zinniahoist.standin.http.StandInServer
import org.zinniahoist.standin.http.answer
import org.zinniahoist.standin.http.errorResponse
import org.zinniahoist.standin.http.jsonResponse
import java.net.URI
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration

/** One execution of a `POST` request; [key] is the value of `Idempotency-Key`. */
@Serializable
public data class Execution(
    public val number: Int,
    public val path: String,
    public val key: String?,
    public val body: String,
)

/** Fault of one request to a [StandInService]. */
public enum class ServiceFault {
    /** The service executes the request, then resets all connections and refuses new ones until its restart. */
    CRASH_AFTER_EXECUTION,

    /** The service resets the connection without executing the request. */
    RESET_BEFORE_EXECUTION,

    /** The service executes the request, then resets the connection. */
    RESET_AFTER_EXECUTION,

    /** The service executes the request and sends no byte on the open connections from then on. */
    SILENCE_AFTER_EXECUTION,
}

/**
 * Test double of a plain service such as an order service or a case file service.
 *
 * It executes each `POST /orders` and `POST /notes` that it receives, repeated keys included, and records it.
 * `GET` on the same paths lists the executions.
 */
public class StandInService(clockRate: Double = 1.0) : AutoCloseable {
    private val clock = StandInClock(clockRate)
    private val server = StandInServer(::addRoutes)
    private val recorded = CopyOnWriteArrayList<Execution>()
    private val fault = AtomicReference<ServiceFault>()
    private val receivedPosts = AtomicInteger()

    /** Time on the service's clock before each request is executed. */
    @Volatile
    public var delay: Duration = Duration.ZERO

    /** Base address, for example `http://127.0.0.1:40123`. */
    public val address: URI get() = server.address

    /** All executions since the creation of the service, restarts included. */
    public val executions: List<Execution> get() = recorded.toList()

    /** Number of `POST` requests received, executed or not. */
    public val received: Int get() = receivedPosts.get()

    /** Returns the keys and bodies that were executed more than once. */
    public fun repeatedExecutions(): Map<Pair<String?, String>, Int> =
        executions.groupingBy { it.key to it.body }.eachCount().filterValues { it > 1 }

    /** Makes the next `POST` request fail with [next]. */
    public fun failNext(next: ServiceFault): Unit = fault.set(next)

    /** Starts the service, or starts it again after [crash]. */
    public fun start(): StandInService {
        server.start()
        return this
    }

    /** Resets all connections and refuses new ones until [start]. */
    public fun crash() {
        server.resetAll()
        server.stop()
    }

    /** Discards all further bytes on the connections that are open now. New connections work. */
    public fun silenceOpenConnections(): Unit = server.silenceOpenConnections()

    override fun close(): Unit = server.close()

    private fun addRoutes(builder: ServerBuilder) {
        listOf("/orders", "/notes").forEach { path ->
            builder.service(path) { context, request -> answer(context, request) { serve(context, it) } }
        }
        builder.service("/health") { _, _ -> jsonResponse(mapOf("status" to "ok")) }
    }

    private fun serve(context: ServiceRequestContext, request: AggregatedHttpRequest): HttpResponse =
        when (request.method()) {
            HttpMethod.GET -> jsonResponse(executions.filter { it.path == request.path() })
            HttpMethod.POST -> post(context, request)
            else -> errorResponse(HttpStatus.METHOD_NOT_ALLOWED, "use GET or POST")
        }

    private fun post(context: ServiceRequestContext, request: AggregatedHttpRequest): HttpResponse {
        receivedPosts.incrementAndGet()
        clock.sleep(delay)
        val current = fault.getAndSet(null)
        if (current == ServiceFault.RESET_BEFORE_EXECUTION) {
            server.resetConnection(context)
            return errorResponse(HttpStatus.INTERNAL_SERVER_ERROR, "reset")
        }
        val execution = execute(request)
        when (current) {
            ServiceFault.CRASH_AFTER_EXECUTION -> crash()
            ServiceFault.RESET_AFTER_EXECUTION -> server.resetConnection(context)
            ServiceFault.SILENCE_AFTER_EXECUTION -> server.silenceOpenConnections()
            ServiceFault.RESET_BEFORE_EXECUTION, null -> Unit
        }
        return jsonResponse(execution, HttpStatus.CREATED)
    }

    private fun execute(request: AggregatedHttpRequest): Execution = synchronized(recorded) {
        val key = request.headers().get("idempotency-key")
        Execution(recorded.size + 1, request.path(), key, request.contentUtf8()).also { recorded.add(it) }
    }
}
