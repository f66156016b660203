package org.zinniahoist.gateway.entry

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.zinniahoist.model.ServiceName
import org.zinniahoist.policy.live.AdaptiveAdmission
import org.zinniahoist.policy.live.AdmissionFigures
import org.zinniahoist.policy.live.ServiceCapacity
import org.zinniahoist.policy.routes.RouteKind
import org.zinniahoist.settings.LiveAdmissionMode
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotEmpty
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse.BodyHandlers
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class AdmissionGateTest {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val fixture = UpstreamFixture()
    private val gate = AdmissionGate(AdaptiveAdmission(), { ServiceCapacity(1, 1) }, fixture.clock)
    private val forwarder =
        Forwarder(UpstreamFixture.Names, fixture.calls, fixture.upstreams, fixture.clock, gate = gate)
    private val streams =
        StreamForwarder(UpstreamFixture.Names, fixture.calls, fixture.upstreams, scope, fixture.clock, gate = gate)
    private val received = AtomicInteger()

    @AfterEach
    fun close() {
        scope.cancel()
        fixture.close()
    }

    private fun hungUpstream() = fixture.upstream {
        received.incrementAndGet()
        HttpResponse.streaming()
    }

    private fun forward(target: Duration = 1.seconds, within: Duration = 10.seconds) =
        scope.async { forwarder.forward(fixture.request(RouteKind.AT_MOST_ONCE, within, target)) }

    private val figures get() = gate.figures()[ServiceName("drafts")] ?: AdmissionFigures(0, 0, 0)

    private suspend fun awaitFigures(inFlight: Int, waiting: Int) = withTimeout(5.seconds) {
        while (figures.inFlight != inFlight || figures.waiting != waiting) delay(5.milliseconds)
    }

    /** Guards against a refusal that says "not run" of a request that an upstream has. */
    @Test
    fun `a request that is not admitted is refused in time and never sent`(): Unit = runBlocking {
        hungUpstream()
        val running = forward()
        awaitFigures(inFlight = 1, waiting = 0)
        withTimeout(5.seconds) { while (received.get() < 1) delay(5.milliseconds) }
        expectThat(forward(target = 100.milliseconds).await()).isA<Forwarded.NotAdmitted>()
        running.cancelAndJoin()
        awaitFigures(inFlight = 0, waiting = 0)
        expectThat(received.get()).isEqualTo(1)
    }

    /** Guards against places that leak when clients go, until nothing is admitted any more. */
    @Test
    fun `clients that leave while they wait or run give their places back`(): Unit = runBlocking {
        hungUpstream()
        repeat(20) {
            val running = forward()
            awaitFigures(inFlight = 1, waiting = 0)
            val waiting = forward()
            awaitFigures(inFlight = 1, waiting = 1)
            if (it % 2 == 0) waiting.cancelAndJoin() else running.cancelAndJoin()
            awaitFigures(inFlight = 1, waiting = 0)
            listOf(running, waiting).forEach { request -> request.cancelAndJoin() }
            awaitFigures(inFlight = 0, waiting = 0)
        }
    }

    /** Guards against a place that a hung upstream keeps for ever. */
    @Test
    fun `a request whose deadline passes gives its place back`(): Unit = runBlocking {
        hungUpstream()
        expectThat(forward(within = 200.milliseconds).await()).isA<Forwarded.NoAnswer>()
        expectThat(figures.inFlight).isEqualTo(0)
    }

    /** Guards against hedges that wait behind other requests, or that the limit does not see. */
    @Test
    fun `a hedge takes a place without waiting and returns it`(): Unit = runBlocking {
        val answer = CompletableDeferred<Unit>()
        hungUpstream()
        fixture.upstream {
            runBlocking { answer.await() }
            HttpResponse.of(fixture.head(), HttpData.ofUtf8("second"))
        }
        val request = scope.async {
            forwarder.forward(fixture.request(RouteKind.REPEATABLE, target = 100.milliseconds))
        }
        awaitFigures(inFlight = 2, waiting = 0)
        answer.complete(Unit)
        expectThat(request.await()).isA<Forwarded.Answer>()
        expectThat(figures.inFlight).isEqualTo(0)
    }

    /** Guards against streams that occupy a slot of the upstream beyond the limit, or keep a place after their end. */
    @Test
    fun `a stream holds its place until it has ended`(): Unit = runBlocking {
        val writer = HttpResponse.streaming()
        fixture.upstream { writer.also { it.write(fixture.head()) } }
        val begun = streams.forward(fixture.request(RouteKind.EVENT_STREAM)) as ForwardedStream.Started
        expectThat(figures.inFlight).isEqualTo(1)
        val body = begun.response.aggregate()
        writer.write(HttpData.ofUtf8("data: a\n\n"))
        writer.close()
        body.join()
        awaitFigures(inFlight = 0, waiting = 0)
    }

    /** Guards against a place that a stream keeps whose client has gone. */
    @Test
    fun `a stream whose client leaves gives its place back`(): Unit = runBlocking {
        fixture.upstream { HttpResponse.streaming().also { it.write(fixture.head()) } }
        val begun = streams.forward(fixture.request(RouteKind.EVENT_STREAM)) as ForwardedStream.Started
        begun.response.abort()
        awaitFigures(inFlight = 0, waiting = 0)
    }

    /** Guards against refusals by upstreams that the limit does not see, so that it never adapts. */
    @Test
    fun `a refusal of an upstream halves the limit`(): Unit = runBlocking {
        val notRun = fixture.head(UpstreamFixture.Names.notRun to "1", status = HttpStatus.SERVICE_UNAVAILABLE)
        fixture.upstream { HttpResponse.of(notRun) }
        val wide = AdmissionGate(AdaptiveAdmission(), { ServiceCapacity(1, 8) }, fixture.clock)
        val forwarder =
            Forwarder(UpstreamFixture.Names, fixture.calls, fixture.upstreams, fixture.clock, gate = wide)
        forwarder.forward(fixture.request(RouteKind.AT_MOST_ONCE))
        expectThat(wide.figures().getValue(ServiceName("drafts")).limit).isLessThan(8)
    }

    /** Guards against a burst that an entry passes on whole, and against refusals that are untrue or lack a delay. */
    @Test
    fun `an entry refuses what exceeds the capacity of a burst`(): Unit = runBlocking {
        EntryFixture(1.seconds, latency = 400.milliseconds, liveAdmission = LiveAdmissionMode.ADAPTIVE).use { fixture ->
            fixture.start()
            fixture.announce(2)
            val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
            val answers = List(BURST) { number ->
                val request = HttpRequest.newBuilder(URI("http://${fixture.clients}/s/"))
                    .header(UpstreamFixture.Names.requestIdentifier, "r$number")
                    .header(UpstreamFixture.Names.remainingMilliseconds, "10000")
                    .build()
                client.sendAsync(request, BodyHandlers.ofString())
            }.map { it.join() }
            val refused = answers.withIndex().filter { it.value.statusCode() == 503 }
            expectThat(answers.map { it.statusCode() }.distinct()).containsExactlyInAnyOrder(200, 503)
            expectThat(refused.map { "r${it.index}" }.filter { it in fixture.receivedRequests }).containsExactly()
            expectThat(fixture.receivedRequests.size).isEqualTo(BURST - refused.size)
            val delays = refused.map { it.value.headers().firstValue("retry-after").orElse("0").toDouble() }
            expectThat(delays).isNotEmpty()
            expectThat(delays.min()).isGreaterThan(0.0)
            expectThat(delays.distinct().size).isGreaterThan(refused.size / 20)
            fixture.entry.stop()
        }
    }

    private companion object {
        /** Several times of the 128 requests, twice the listed slots, that an entry may have in flight. */
        const val BURST = 400
    }
}
