package org.zinniahoist.standin.platform

import com.linecorp.armeria.server.ServerBuilder
import kotlinx.serialization.Serializable
import org.zinniahoist.standin.DelayedView
import org.zinniahoist.standin.StandInClock
import org.zinniahoist.standin.http.StandInServer
import org.zinniahoist.standin.http.jsonResponse
import java.net.URI
import kotlin.time.Duration

/** An instance as the platform lists it; [state] is `live` or `leaving`. */
@Serializable
public data class ListedInstance(
    public val name: String,
    public val address: String,
    public val state: String = "live",
)

/** Test double of the platform's list of instances, which shows each change only after [lag]. */
public class StandInPlatformList(
    lag: Duration,
    clockRate: Double = 1.0,
) : AutoCloseable {
    private val instances = DelayedView(StandInClock(clockRate), { lag }, emptyList<ListedInstance>())
    private val server = StandInServer(::addRoutes)

    /** Base address, for example `http://127.0.0.1:40123`. */
    public val address: URI get() = server.address

    /** Starts the list. */
    public fun start(): StandInPlatformList {
        server.start()
        return this
    }

    /** Replaces the list; readers see [present] after the lag. */
    public fun publish(present: List<ListedInstance>): Unit = instances.record(present)

    override fun close(): Unit = server.close()

    private fun addRoutes(builder: ServerBuilder) {
        builder.service("/instances") { _, _ -> jsonResponse(mapOf("instances" to instances.read())) }
    }
}
