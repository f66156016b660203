package org.zinniahoist.standin.engine

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpStatus
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.zinniahoist.standin.StandInClock
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Body of `POST /orders` of an engine. */
@Serializable
public data class EngineOrder(
    public val kind: String,
    public val model: String = "",
    public val version: Long = 0,
    public val role: String = "",
    @SerialName("fencing_token") public val fencingToken: Long = 0,
    public val source: String = "",
)

/** Answer of `POST /orders`. [version] is what the engine reports for the model, null if unknown. */
@Serializable
public data class OrderAnswer(
    public val applied: Boolean,
    public val version: Long?,
    @SerialName("fencing_token") public val fencingToken: Long,
    public val error: String? = null,
)

/** Applies orders one at a time and holds the loaded versions. */
internal class EngineOrders(
    private val configuration: EngineConfiguration,
    private val clock: StandInClock,
    private val faults: EngineFaults,
) {
    private val lock = ReentrantLock(true)
    private val versions = ConcurrentHashMap<String, Loaded>()
    private var highestToken = 0L
    val applied = CopyOnWriteArrayList<EngineOrder>()

    @Volatile
    var role: String = configuration.role
        private set

    init {
        reset()
    }

    /** Returns to the versions and the role that the engine starts with. */
    fun reset() {
        versions.clear()
        configuration.models.forEach { (model, version) -> versions[model] = Loaded(version) }
        role = configuration.role
    }

    fun serves(model: String): Boolean = versions.containsKey(model)

    fun versionOf(model: String): Long? = versions[model]?.version

    fun versions(): Map<String, Long?> = versions.mapValues { it.value.version }.toSortedMap()

    fun apply(order: EngineOrder): Pair<HttpStatus, OrderAnswer> = lock.withLock {
        if (configuration.checksFencingTokens && order.fencingToken < highestToken) {
            return HttpStatus.CONFLICT to answer(order, false, "stale fencing token")
        }
        highestToken = maxOf(highestToken, order.fencingToken)
        when (order.kind) {
            "load-version", "load-adapter" -> load(order)
            "change-role" -> done(order) { role = order.role }
            else -> HttpStatus.BAD_REQUEST to answer(order, false, "unknown kind ${order.kind}")
        }
    }

    private fun load(order: EngineOrder): Pair<HttpStatus, OrderAnswer> {
        if (order.source.isNotEmpty()) {
            val status = fetch(order.source)
            if (status != HttpStatus.OK) {
                return HttpStatus.BAD_GATEWAY to answer(order, false, "the source answered $status")
            }
        }
        clock.sleep(configuration.swapTime)
        val failure = faults.nextSwapFailure ?: return done(order) { versions[order.model] = Loaded(order.version) }
        faults.nextSwapFailure = null
        if (failure == SwapFailure.UNKNOWN_VERSION) versions[order.model] = Loaded(null)
        return HttpStatus.INTERNAL_SERVER_ERROR to answer(order, false, "the swap failed partway")
    }

    private fun fetch(source: String): HttpStatus {
        val client =
            WebClient
                .builder()
                .responseTimeoutMillis(0)
                .maxResponseLength(0)
                .build()
        return try {
            client
                .get(source)
                .aggregate()
                .join()
                .status()
        } catch (_: java.util.concurrent.CompletionException) {
            HttpStatus.SERVICE_UNAVAILABLE
        }
    }

    private fun done(order: EngineOrder, change: () -> Unit): Pair<HttpStatus, OrderAnswer> {
        change()
        applied.add(order)
        return HttpStatus.OK to answer(order, true, null)
    }

    private fun answer(order: EngineOrder, applied: Boolean, error: String?) =
        OrderAnswer(applied, versionOf(order.model), highestToken, error)

    private data class Loaded(val version: Long?)
}
