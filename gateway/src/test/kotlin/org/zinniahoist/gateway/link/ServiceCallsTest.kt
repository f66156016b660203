package org.zinniahoist.gateway.link

import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.zinniahoist.model.Moment
import org.zinniahoist.wire.LinkConnection
import org.zinniahoist.wire.LinkMessage
import org.zinniahoist.wire.Message
import org.zinniahoist.wire.ServiceCall
import org.zinniahoist.wire.ServiceMessage
import org.zinniahoist.wire.ServiceReply
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class ServiceCallsTest {
    /** Fakes a link and records the calls that are sent on it. */
    private class FakeLink : LinkConnection {
        val sent = Channel<ServiceMessage.Call>(Channel.UNLIMITED)

        @Volatile
        override var received = 0L
        override val peer: LinkMessage.Hello get() = error("not part of the test")
        override val lastHeartbeatReceived: Long = -1

        override fun heartbeatSentAt(sequence: Long): Moment? = null

        override suspend fun send(message: Message): Boolean = offer(message)

        override fun offer(message: Message): Boolean = sent.trySend(message as ServiceMessage.Call).isSuccess

        override fun close(reason: String): Unit = Unit
    }

    private val calls = ServiceCalls { Moment(System.nanoTime()) }
    private val link = FakeLink()
    private val read = ServiceCall.ReadJob("j", after = 0, waitMilliseconds = 0)

    /** Guards against retrying a read on a slow leader that is sending, which would then send the page twice. */
    @Test
    fun `a call is not abandoned while its link receives data`(): Unit = runBlocking {
        val reply = async { calls.call(link, read, CallLimits(timeout = 10.seconds, silence = 300.milliseconds)) }
        repeat(10) {
            delay(100.milliseconds)
            link.received++
        }
        calls.onReply(ServiceMessage.Reply(link.sent.receive().identifier, ServiceReply.Done))
        expectThat(reply.await()).isEqualTo(ServiceReply.Done)
    }

    /** Guards against a caller that waits for a former leader. */
    @Test
    fun `a call is abandoned once another replica should be called`(): Unit = runBlocking {
        expectThat(calls.call(link, read, CallLimits(10.seconds) { true })).isNull()
        expectThat(calls.call(link, read, CallLimits(10.seconds, silence = 200.milliseconds))).isNull()
    }

    /** Guards against a leader that works for a caller that has timed out, or executes each retry of a call. */
    @Test
    fun `a call contains the time-out of its caller and the number of the retried request`(): Unit = runBlocking {
        val request = calls.newRequest()
        repeat(2) { calls.call(link, read, CallLimits(50.milliseconds), request) }
        val (first, second) = List(2) { link.sent.receive() }
        expectThat(first.patienceMilliseconds).isEqualTo(50)
        expectThat(second.request).isEqualTo(first.request)
        expectThat(second.identifier).isNotEqualTo(first.identifier)
    }
}
