package org.zinniahoist.standin.http

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** JSON format of all stand-ins: unknown members are ignored and members with default values are written. */
internal val standInJson: Json =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = true
    }

/** JSON format of requests to an entry, which carry only the members that differ from their defaults. */
internal val callerJson: Json = Json { ignoreUnknownKeys = true }

internal inline fun <reified T> jsonResponse(value: T, status: HttpStatus = HttpStatus.OK): HttpResponse =
    HttpResponse.of(status, MediaType.JSON, standInJson.encodeToString(value))

internal fun errorResponse(status: HttpStatus, message: String): HttpResponse =
    jsonResponse(mapOf("error" to message), status)

/** Aggregates [request] and answers it with [handle] on a thread that may block. */
internal fun answer(
    context: ServiceRequestContext,
    request: HttpRequest,
    handle: (AggregatedHttpRequest) -> HttpResponse,
): HttpResponse = HttpResponse.of(
    request.aggregate().thenApplyAsync(
        { aggregated ->
            try {
                handle(aggregated)
            } catch (exception: SerializationException) {
                errorResponse(HttpStatus.BAD_REQUEST, exception.message.orEmpty())
            }
        },
        context.blockingTaskExecutor(),
    ),
)
