package org.zinniahoist.standin

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.URI
import java.util.concurrent.CompletableFuture

/** Guards against a test that hangs. At 1 ms or more each, the polls take a minute or longer. */
private const val MAXIMUM_POLLS = 60_000

/** Waits until [condition] holds, or fails after [MAXIMUM_POLLS] polls. */
internal fun awaitUntil(condition: () -> Boolean) {
    repeat(MAXIMUM_POLLS) {
        if (condition()) return
        Thread.sleep(1)
    }
    throw AssertionError("the awaited condition did not hold in $MAXIMUM_POLLS polls")
}

/** Binds and frees [port] under the rules by which the kernel chooses ephemeral ports, without SO_REUSEADDR. */
internal fun bindExclusively(port: Int) = ServerSocket().use { socket ->
    socket.reuseAddress = false
    socket.bind(InetSocketAddress(InetAddress.getLoopbackAddress(), port))
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
