package org.zinniahoist.gateway.entry

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.zinniahoist.policy.routes.RouteKind
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import kotlin.time.Duration.Companion.milliseconds

/** Tests for which requests an entry counts usage. */
internal class RequestUsageTest {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val fixture = UpstreamFixture()
    private val names = UpstreamFixture.Names
    private val forwarder = Forwarder(names, fixture.calls, fixture.upstreams, fixture.clock)
    private val streams = StreamForwarder(names, fixture.calls, fixture.upstreams, scope, fixture.clock)

    @AfterEach
    fun close() {
        scope.cancel()
        fixture.close()
    }

    private fun success() = HttpResponse.of(fixture.head(), HttpData.ofUtf8("a"))

    private fun notRun(status: HttpStatus = HttpStatus.SERVICE_UNAVAILABLE) =
        HttpResponse.of(fixture.head(names.notRun to "1", status = status))

    /** Guards against usage of a workspace for requests that no upstream has run. */
    @Test
    fun `refused requests are not counted`(): Unit = runBlocking {
        fixture.upstream { notRun() }
        forwarder.forward(fixture.request(RouteKind.REPEATABLE))
        streams.forward(fixture.request(RouteKind.EVENT_STREAM))
        expectThat(fixture.usage).isEmpty()
    }

    /** Guards against usage for a malformed request, whose refusal is passed to the client and not retried. */
    @Test
    fun `a request that was not run with status 400 is not counted`(): Unit = runBlocking {
        fixture.upstream { notRun(HttpStatus.BAD_REQUEST) }
        forwarder.forward(fixture.request(RouteKind.REPEATABLE))
        expectThat(fixture.usage).isEmpty()
    }

    /** Guards against a request that counts as often as it was sent. */
    @Test
    fun `a retried request counts once`(): Unit = runBlocking {
        fixture.scriptedUpstream(notRun(), notRun(), success())
        forwarder.forward(fixture.request(RouteKind.REPEATABLE))
        expectThat(fixture.usage).hasSize(1)
    }

    /** Guards against a request that counts for its first run as well, which was overtaken. */
    @Test
    fun `a hedged request counts once`(): Unit = runBlocking {
        fixture.upstream { HttpResponse.streaming() }
        fixture.upstream { success() }
        forwarder.forward(fixture.request(RouteKind.REPEATABLE, target = 100.milliseconds))
        expectThat(fixture.usage).hasSize(1)
    }

    /** Guards against streams that are not counted, or only at their end. */
    @Test
    fun `a stream counts with its head`(): Unit = runBlocking {
        fixture.upstream { HttpResponse.streaming().also { it.write(fixture.head()) } }
        streams.forward(fixture.request(RouteKind.EVENT_STREAM))
        expectThat(fixture.usage).hasSize(1)
    }
}
