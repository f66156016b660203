package org.zinniahoist.daemon.entry

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Label
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Region
import org.zinniahoist.model.Role
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.Upstream
import org.zinniahoist.model.Verdict
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.wire.AttemptMessage
import org.zinniahoist.wire.HeartbeatContent
import org.zinniahoist.wire.LinkCloseCause
import org.zinniahoist.wire.LinkConnection
import org.zinniahoist.wire.LinkHandler
import org.zinniahoist.wire.LinkLimits
import org.zinniahoist.wire.LinkMessage
import org.zinniahoist.wire.LinkServer
import org.zinniahoist.wire.LoadReport
import org.zinniahoist.wire.Message
import java.util.concurrent.ConcurrentHashMap

internal val DOMAIN = FailureDomain("a", Region("r"))

/** Sidecar on a real link that responds to attempts as [behaviour] defines. */
internal class FakeSidecar(
    name: String,
    upstream: (InstanceName) -> Upstream,
    private val behaviour: suspend FakeSidecar.(LinkConnection, AttemptMessage.StartAttempt) -> Unit,
) : LinkHandler,
    AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val instance = InstanceName(name)
    val starts = Channel<AttemptMessage.StartAttempt>(Channel.UNLIMITED)
    val cancels = Channel<AttemptMessage.CancelAttempt>(Channel.UNLIMITED)

    private val credits = ConcurrentHashMap<AttemptIdentifier, Semaphore>()

    @Volatile
    var draining = false

    @Volatile
    var load = LoadReport(concurrencyLimit = 4)
    private val hello =
        LinkMessage.Hello(
            LinkLimits.PROTOCOL_VERSION,
            instance,
            Incarnation(1),
            DOMAIN,
            setOf(Role.SIDECAR),
            upstream(instance),
        )
    private val server = LinkServer(
        Endpoint("127.0.0.1", 0),
        hello,
        this,
        { HeartbeatContent(draining, load = load) },
        { Moment(System.nanoTime()) },
        LinkLimits(),
    )

    suspend fun start(): Pair<InstanceName, Endpoint> = instance to server.start()

    override fun onOpen(link: LinkConnection): Unit = Unit

    override suspend fun onMessage(link: LinkConnection, message: Message) {
        if (message is AttemptMessage.CancelAttempt) cancels.send(message)
        if (message is AttemptMessage.Credit) repeat(message.frames) { credits.getValue(message.attempt).release() }
        if (message is AttemptMessage.StartAttempt) {
            credits[message.attempt] = Semaphore(MAXIMUM_CREDIT, MAXIMUM_CREDIT - message.credit)
            starts.send(message)
            scope.launch { behaviour(link, message) }
        }
    }

    /** Waits until the entry has granted the attempt credit for one more chunk. */
    suspend fun awaitCredit(start: AttemptMessage.StartAttempt) = credits.getValue(start.attempt).acquire()

    override fun onClosed(link: LinkConnection, cause: LinkCloseCause): Unit = Unit

    override fun close() {
        server.close()
        scope.cancel()
    }

    private companion object {
        const val MAXIMUM_CREDIT = 1_000_000
    }
}

internal fun engine(name: InstanceName): Upstream = Upstream.ModelEngine(name, DOMAIN, ModelName("m"))

internal fun plain(name: InstanceName): Upstream = Upstream.PlainService(name, DOMAIN, ServiceName("orders"))

internal suspend fun LinkConnection.chunk(
    start: AttemptMessage.StartAttempt,
    sequence: Int,
    text: String,
    version: Long? = null,
) = send(
    AttemptMessage.AttemptChunk(
        start.attempt,
        sequence,
        text.toByteArray(),
        if (version == null) 0 else 1,
        version?.let(::WeightVersion),
    ),
)

internal suspend fun LinkConnection.end(
    start: AttemptMessage.StartAttempt,
    chunks: Int,
    verdict: Verdict = Verdict.Completed,
    status: Int = 200,
    type: String = "application/json",
) = send(AttemptMessage.AttemptEnd(start.attempt, verdict, chunks, status, type, Label()))

/** Returns the engine's event for one token with [text]. */
internal fun token(text: String, version: Long): String =
    """{"choices":[{"text":"$text"}],"weight_version":$version,"tokens":1}"""
