package org.zinniahoist.gateway.entry

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.zinniahoist.gateway.upstream.EndlessAnswer
import org.zinniahoist.gateway.upstream.awaitCondition
import org.zinniahoist.policy.routes.RouteKind
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration.Companion.seconds

/** Tests the memory limit for unary responses that an entry buffers concurrently, each within its own limit. */
internal class HeldAnswersTest {
    private val fixture = UpstreamFixture()
    private val forwarder = Forwarder(UpstreamFixture.Names, fixture.calls, fixture.upstreams, fixture.clock)
    private val finish = CountDownLatch(1)

    @AfterEach
    fun close() {
        finish.countDown()
        fixture.close()
    }

    private fun request() = fixture.request(RouteKind.AT_MOST_ONCE, within = 60.seconds)

    /** Guards against exhausting the entry's heap with responses that are each within their limit. */
    @Test
    fun `responses beyond the total memory limit fail`(): Unit = runBlocking {
        fixture.rawUpstream {
            text("${EndlessAnswer.head()}content-length: ${ANSWER_BYTES + 1}\r\n\r\n${"a".repeat(ANSWER_BYTES)}")
            finish.await()
        }
        val answers = List(ANSWERS) { async(Dispatchers.Default) { forwarder.forward(request()) } }
        expectThat(awaitCondition(TIMEOUT) { answers.count { !it.isCompleted } <= MAXIMUM_BUFFERED })
            .describedAs { "${fixture.memory.heldBytes} bytes held, ${answers.count { !it.isCompleted }} answers open" }
            .isTrue()
        expectThat(fixture.memory.heldBytes).isGreaterThan(0).isLessThanOrEqualTo(UpstreamFixture.MEMORY_BYTES)
        answers.filter { it.isCompleted }.forEach { expectThat(it.await()).isA<Forwarded.NoAnswer>() }
        answers.forEach { it.cancel() }
        expectThat(awaitCondition(TIMEOUT) { fixture.memory.heldBytes == 0L }).describedAs("nothing is held").isTrue()
    }

    /** Guards against leaking memory after a response has been delivered. */
    @Test
    fun `a complete response is accounted for until its reservation is closed`(): Unit = runBlocking {
        fixture.rawUpstream { text("${EndlessAnswer.head()}content-length: 5\r\n\r\nsound") }
        val request = request()
        expectThat(forwarder.forward(request)).isA<Forwarded.Answer>()
        expectThat(fixture.memory.heldBytes).isEqualTo(5)
        request.reservation.close()
        expectThat(fixture.memory.heldBytes).isEqualTo(0)
    }

    private companion object {
        val TIMEOUT = 8.seconds
        const val ANSWERS = 12
        const val ANSWER_BYTES = 3 shl 20
        const val MAXIMUM_BUFFERED = UpstreamFixture.MEMORY_BYTES / ANSWER_BYTES
    }
}
