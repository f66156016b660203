package org.zinniahoist.gateway.connections

import com.linecorp.armeria.common.metric.NoopMeterRegistry
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServerBuilder
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelOption
import io.netty.channel.ChannelPipeline
import org.zinniahoist.gateway.framing.MessageFault
import org.zinniahoist.gateway.framing.OriginalRequests
import org.zinniahoist.gateway.framing.RequestFramingHandler
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.gateway.upstream.HeapBudget
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.Moment
import org.zinniahoist.policy.connections.ConnectionLimits
import org.zinniahoist.policy.connections.ConnectionTable
import java.net.InetSocketAddress
import kotlin.time.Duration.Companion.seconds

/**
 * Builds the server of one address of a process and bounds what its clients can make the process hold: connections,
 * requests that they send ahead, incomplete heads and responses that they do not read.
 *
 * @param address name of the address in logs and metrics.
 * @param input budget for bytes that clients sent and that no request under way needs, shared by all addresses.
 */
internal class ClientConnections(
    private val address: String,
    private val limits: ConnectionLimits,
    private val input: HeapBudget,
    private val identifierName: String,
    private val metrics: GatewayMetrics,
    private val clock: () -> Moment,
    private val onFault: (MessageFault) -> Unit = {},
) {
    private val table = ConnectionTable<Channel>(limits)
    private val closures = ClosureLog(address, metrics, clock)

    /** Connections that may be open beyond the limit until the table has decided about them. */
    private val undecided = maxOf(limits.maximumConnections / UNDECIDED_SHARE, LEAST_UNDECIDED)

    /** Number of open connections. */
    val size: Int get() = table.size

    /** Returns a builder of the server on [endpoint], all requests of which [service] serves. */
    fun newServer(endpoint: Endpoint, service: HttpService): ServerBuilder = Server.builder()
        .http(InetSocketAddress(endpoint.host, endpoint.port))
        .meterRegistry(NoopMeterRegistry.get())
        // Closes at once what is accepted faster than the table decides about it.
        .maxNumConnections(limits.maximumConnections + undecided)
        .requestTimeoutMillis(0)
        .maxRequestLength(MAXIMUM_REQUEST_BYTES)
        .idleTimeoutMillis(ConnectionLimits.FIRST_BYTE_TIMEOUT.inWholeMilliseconds)
        .http1MaxInitialLineLength(LIBRARY_HEAD_BYTES)
        .http1MaxHeaderSize(LIBRARY_HEAD_BYTES)
        // The pipeline decides after each read whether there is another one, so one read bounds what arrives unasked.
        .childChannelOption(ChannelOption.RCVBUF_ALLOCATOR, newReceiveAllocator())
        .childChannelPipelineCustomizer(::install)
        .serviceUnder("/", OriginalRequests(service))

    private fun newReceiveAllocator() =
        AdaptiveRecvByteBufAllocator(LEAST_READ_BYTES, FIRST_READ_BYTES, MAXIMUM_READ_BYTES).maxMessagesPerRead(1)

    private fun install(pipeline: ChannelPipeline) {
        val framing = RequestFramingHandler(identifierName, MAXIMUM_REQUESTS_UNDER_WAY, onFault)
        pipeline.addFirst(framing)
        pipeline.addFirst(ClientConnectionHandler(framing, table, limits, input, closures, clock))
    }

    companion object {
        /**
         * Requests that one connection may have under way. Ordinary clients send one at a time; what a client sends
         * ahead waits in the buffers of the two sockets.
         */
        const val MAXIMUM_REQUESTS_UNDER_WAY = 1

        /** Memory of a process for each connection that it accepts, in bytes of its heap. */
        private const val HEAP_BYTES_OF_CONNECTION = 64L shl 10

        /** Probes and scrapers of metrics use few connections; operators and trainers some dozen. */
        private const val MAXIMUM_INTERNAL_CONNECTIONS = 256

        /** Slightly above the largest request body that operators allow. */
        private const val MAXIMUM_REQUEST_BYTES = 34L shl 20

        /** The library receives heads that are checked already, with targets in a form that is a third longer. */
        private const val LIBRARY_HEAD_BYTES = 2 * RequestFramingHandler.MAXIMUM_HEAD_BYTES

        private const val UNDECIDED_SHARE = 8
        private const val LEAST_UNDECIDED = 8
        private val INTERNAL_IDLE_TIME = 1.seconds
        private const val LEAST_READ_BYTES = 512
        private const val FIRST_READ_BYTES = 2_048
        private const val MAXIMUM_READ_BYTES = 16 shl 10

        /** Share of the memory outside of the heap that incomplete heads and requests sent ahead may take. */
        private const val INPUT_SHARE = 4

        /** Limits of the address for clients of a process with a heap of [heapBytes]. */
        fun clientLimits(heapBytes: Long) = ConnectionLimits((heapBytes / HEAP_BYTES_OF_CONNECTION).toInt())

        /**
         * Limits of addresses for probes, metrics and operators, where a crowd must not keep probes out: a connection
         * without activity for one second makes room for a new one.
         */
        fun internalLimits() = ConnectionLimits(MAXIMUM_INTERNAL_CONNECTIONS, reclaimableAfter = INTERNAL_IDLE_TIME)

        /** Returns the budget for input of a process that may hold [directBytes] outside of its heap. */
        fun inputBudget(directBytes: Long) = HeapBudget(directBytes / INPUT_SHARE)
    }
}
