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
    /** A link to a replica that the test plays. */
    private class PlayedLink : LinkConnection {
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
    private val link = PlayedLink()
    private val read = ServiceCall.ReadJob("j", after = 0, waitMilliseconds = 0)

    /** Guards against a read that is repeated to a leader that is late but sends, and whose page comes twice then. */
    @Test
    fun `a call is not given up while its link receives`(): Unit = runBlocking {
        val reply = async { calls.call(link, read, CallPatience(timeout = 10.seconds, silence = 300.milliseconds)) }
        repeat(10) {
            delay(100.milliseconds)
            link.received++
        }
        calls.onReply(ServiceMessage.Reply(link.sent.receive().identifier, ServiceReply.Done))
        expectThat(reply.await()).isEqualTo(ServiceReply.Done)
    }

    /** Guards against a caller that waits for a leader that another one has replaced. */
    @Test
    fun `a call is given up once another replica is to be called`(): Unit = runBlocking {
        expectThat(calls.call(link, read, CallPatience(10.seconds) { true })).isNull()
        expectThat(calls.call(link, read, CallPatience(10.seconds, silence = 200.milliseconds))).isNull()
    }

    /** Guards against a leader that works for a caller that has gone, or for each repetition of a call. */
    @Test
    fun `a call says for how long its caller waits and which request it repeats`(): Unit = runBlocking {
        val request = calls.newRequest()
        repeat(2) { calls.call(link, read, CallPatience(50.milliseconds), request) }
        val (first, second) = List(2) { link.sent.receive() }
        expectThat(first.patienceMilliseconds).isEqualTo(50)
        expectThat(second.request).isEqualTo(first.request)
        expectThat(second.identifier).isNotEqualTo(first.identifier)
    }
}
