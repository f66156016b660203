package org.zinniahoist.standin

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import java.net.URI
import java.util.concurrent.CompletableFuture

internal fun awaitUntil(condition: () -> Boolean) {
    while (!condition()) Thread.sleep(1)
}

internal fun client(address: URI, factory: ClientFactory = ClientFactory.ofDefault()): WebClient = WebClient
    .builder(address)
    .factory(factory)
    .responseTimeoutMillis(0)
    .build()

internal fun WebClient.postJson(
    path: String,
    body: String,
    key: String? = null,
): CompletableFuture<AggregatedHttpResponse> {
    val headers = RequestHeaders.builder(HttpMethod.POST, path).contentType(MediaType.JSON)
    key?.let { headers.add("idempotency-key", it) }
    headers.add(HttpHeaderNames.ACCEPT, "*/*")
    return execute(HttpRequest.of(headers.build(), com.linecorp.armeria.common.HttpData.ofUtf8(body))).aggregate()
}
