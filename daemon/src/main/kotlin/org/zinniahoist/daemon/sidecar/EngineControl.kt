package org.zinniahoist.daemon.sidecar

import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpStatus
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.longOrNull
import kotlinx.serialization.json.put
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.state.coordination.FencedOrder
import org.zinniahoist.state.coordination.Order

/** How an engine answered an order. */
internal sealed interface OrderResult {
    /** [version] is null if the engine named none. */
    data class Applied(val version: WeightVersion?) : OrderResult

    /** The order failed, possibly partway. [version] is null if the weights are unknown now. */
    data class Failed(val version: WeightVersion?) : OrderResult

    /** The engine has seen a larger token. */
    data object StaleToken : OrderResult

    /** The engine was not reached. */
    data object Unreachable : OrderResult
}

/** Control paths of an engine that serves [model]. */
internal class EngineControl(
    private val client: UpstreamClient,
    private val model: ModelName,
) {
    /** Sends an order with its fencing token. */
    suspend fun send(order: FencedOrder): OrderResult = when (val answer = client.postJson("/orders", encode(order))) {
        UpstreamAnswer.NotSent -> OrderResult.Unreachable
        UpstreamAnswer.Lost -> OrderResult.Failed(version = null)
        is UpstreamAnswer.Received -> read(answer.response)
    }

    /** Reads the engine's load report. Returns null if the engine did not answer. */
    suspend fun readVersion(): VersionReport? {
        val answer = client.get("/load") as? UpstreamAnswer.Received ?: return null
        if (!answer.response.status().isSuccess) return null
        return VersionReport(versionIn(answer.response))
    }

    private fun read(response: AggregatedHttpResponse): OrderResult = when {
        response.status().isSuccess -> OrderResult.Applied(versionIn(response))
        response.status() == HttpStatus.CONFLICT -> OrderResult.StaleToken
        else -> OrderResult.Failed(versionIn(response))
    }

    /** The field `version`, or the entry for the model in `versions` of an engine that serves several. */
    private fun versionIn(response: AggregatedHttpResponse): WeightVersion? = try {
        val fields = AnswerDecoder.json.parseToJsonElement(response.contentUtf8()) as? JsonObject
        val single = fields?.get("version") ?: (fields?.get("versions") as? JsonObject)?.get(model.value)
        (single as? JsonPrimitive)?.longOrNull?.let(::WeightVersion)
    } catch (_: SerializationException) {
        null
    }

    private fun encode(fenced: FencedOrder): String = buildJsonObject {
        when (val order = fenced.order) {
            is Order.LoadVersion -> {
                put("kind", "load-version")
                put("model", order.model.value)
                put("version", order.version.number)
                order.source?.let { put("source", it.value) }
            }

            is Order.LoadAdapter -> {
                put("kind", "load-adapter")
                put("model", order.model.value)
                put("adapter", order.adapter)
            }

            is Order.ChangeRole -> {
                put("kind", "change-role")
                put("role", order.role)
            }
        }
        put("fencing_token", fenced.token.value)
    }.toString()
}

/** A version that an engine reported, or null if it reported that the version is unknown. */
internal class VersionReport(val version: WeightVersion?)
