package org.zinniahoist.wire

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Runnable
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.zinniahoist.model.Endpoint
import strikt.api.expectThat
import strikt.assertions.isLessThanOrEqualTo
import java.util.concurrent.atomic.AtomicInteger
import kotlin.coroutines.CoroutineContext
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LinkTimerTest {
    private val cleanup = ArrayDeque<AutoCloseable>()
    private val clock = ManualClock()

    @AfterEach
    fun close() = cleanup.reversed().forEach { it.close() }

    /** Guards against a separate timer for each link, which consumes processor time in idle processes. */
    @Test
    fun `all links of a process are checked in one timer round`(): Unit = runBlocking {
        val threads = Channel<Thread>(Channel.UNLIMITED)
        val content = { HeartbeatContent().also { threads.trySend(Thread.currentThread()) } }
        val handler = RecordingHandler()
        val server = LinkServer(Endpoint("127.0.0.1", 0), hello("server"), handler, content, clock::now)
        cleanup += server
        val endpoint = server.start()
        repeat(LINKS) {
            RawPeer(endpoint).also(cleanup::add).sendHello()
            handler.opened.receive()
            threads.receive()
        }
        clock.advance(LinkLimits().heartbeatInterval)
        val heartbeatThreads = withTimeout(TIMEOUT) { List(LINKS) { threads.receive() } }
        // The clock may advance during a round, so that some links are checked in the next round, on another thread.
        expectThat(heartbeatThreads.toSet().size).isLessThanOrEqualTo(2)
    }

    /** Guards against a wake-up rate that grows with the number of links. */
    @Test
    fun `a timer round causes one wake-up for all checks`(): Unit = runBlocking {
        val wakeUps = AtomicInteger()
        val dispatcher = object : CoroutineDispatcher() {
            override fun dispatch(context: CoroutineContext, block: Runnable) {
                wakeUps.incrementAndGet()
                Dispatchers.Default.dispatch(context, block)
            }
        }
        val rounds = Channel<Int>(Channel.UNLIMITED)
        val timer = LinkTimer(10.milliseconds, dispatcher)
        val checks = List(LINKS) { number -> LinkCheck { rounds.trySend(number) } }
        checks.forEach(timer::add)
        withTimeout(TIMEOUT) { repeat(LINKS * ROUNDS) { rounds.receive() } }
        checks.forEach(timer::remove)
        // One extra wake-up starts the timer, and further rounds may begin before all checks are removed.
        expectThat(wakeUps.get()).isLessThanOrEqualTo(ROUNDS + 3)
    }

    private companion object {
        const val LINKS = 40
        const val ROUNDS = 10
        val TIMEOUT = 10.seconds
    }
}
