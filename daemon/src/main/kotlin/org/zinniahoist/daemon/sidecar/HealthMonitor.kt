package org.zinniahoist.daemon.sidecar

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.longOrNull
import org.zinniahoist.daemon.timeline.EventRecorder
import org.zinniahoist.daemon.timeline.record
import org.zinniahoist.model.Moment
import org.zinniahoist.policy.liveness.ProbeResult
import org.zinniahoist.policy.liveness.UpstreamAction
import org.zinniahoist.policy.liveness.UpstreamHealth

/** Performs what [UpstreamHealth] decides. */
internal class HealthMonitor(
    private val health: UpstreamHealth,
    private val client: UpstreamClient,
    private val state: UpstreamState,
    private val events: EventRecorder,
    private val clock: () -> Moment,
) {
    /** Records that a connection received bytes or that an attempt was given to it. */
    fun onActivity(connection: Long): Unit = synchronized(health) { health.onActivity(connection, clock()) }

    /** Records that no attempt waits for bytes on a connection. */
    fun onIdle(connection: Long): Unit = synchronized(health) { health.onIdle(connection) }

    /** Does what is due for the upstream of [attempts]. */
    fun check(attempts: Set<ActiveAttempt>, scope: CoroutineScope) {
        when (val action = synchronized(health) { health.check(clock()) }) {
            UpstreamAction.None -> Unit
            UpstreamAction.Probe -> scope.launch { probe() }
            is UpstreamAction.CloseConnections -> close(
                attempts.filter {
                    it.exchange?.connection in action.connections
                },
            )
            UpstreamAction.Down -> {
                state.isReachable = false
                close(attempts)
            }
        }
    }

    /** Returns whether the upstream answers on a new connection. */
    suspend fun isAlive(): Boolean = probe() != null

    private suspend fun probe(): ProbeResult? {
        val answer = client.getOnNewConnection(PATH)
        val result = answer?.let { ProbeResult(readConnections(it.contentUtf8())) }
        synchronized(health) { health.onProbeResult(result, clock()) }
        return result
    }

    private fun close(attempts: Collection<ActiveAttempt>) {
        attempts.forEach {
            events.record("upstream-silent", "attempt" to it.start.attempt, "connection" to it.exchange?.connection)
            it.exchange?.abort(SilentUpstreamException())
        }
    }

    /** Local ports of the sidecar's connections on which the upstream has work, if the upstream tells. */
    private fun readConnections(body: String): Set<Long>? = try {
        val fields = AnswerDecoder.json.parseToJsonElement(body) as? JsonObject
        val listed = fields?.get("active_connections") as? JsonArray
        listed?.mapNotNullTo(HashSet()) { (it as? JsonPrimitive)?.longOrNull }
    } catch (_: SerializationException) {
        null
    }

    private companion object {
        const val PATH = "/health"
    }
}
