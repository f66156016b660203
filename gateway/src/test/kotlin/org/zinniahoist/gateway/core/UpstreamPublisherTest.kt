package org.zinniahoist.gateway.core

import org.junit.jupiter.api.Test
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Role
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.wire.ServiceMessage
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class UpstreamPublisherTest {
    private val publisher = UpstreamPublisher()
    private val list = listOf(upstream("a"), upstream("b"))
    private val shorter = list.take(1)

    private fun upstream(identity: String) = ListedUpstream(
        UpstreamIdentity(identity),
        ServiceName("drafts"),
        Endpoint("127.0.0.1", 80),
        failureDomain = "a",
        slots = 1,
        isLeaving = false,
    )

    private fun entry(name: String) = RecordedLink(name, Role.ENTRY).also(publisher::onOpen)

    private fun publish(entries: List<ListedUpstream>, at: Moment = NOW) =
        publisher.publish(publisher.beginRead(at), entries, at)

    private fun update(entries: List<ListedUpstream>?) = ServiceMessage.Upstreams(entries)

    /**
     * Guards against requests to removed upstreams: an entry whose queue was full missed a change, and then received an
     * "unchanged" notice every second.
     */
    @Test
    fun `an entry that missed a list gets it with the next read`() {
        val entry = entry("e1")
        val other = entry("e2")
        publish(list)
        entry.isFull = true
        publish(shorter)
        entry.isFull = false
        publish(shorter, at = SETTLED)
        expectThat(entry.offered).containsExactly(update(list), update(shorter))
        expectThat(other.offered).containsExactly(update(list), update(shorter), update(null))
    }

    /**
     * Guards against an entry that received a list of the former leader after the first one of this leader, and then
     * only notices that it is unchanged.
     */
    @Test
    fun `a new leader repeats the whole list while one of the former leader may arrive`() {
        val entry = entry("e1")
        publish(list)
        publish(list, at = NOW + 4.seconds)
        publish(list, at = SETTLED)
        publisher.stop()
        publish(list, at = SETTLED + 1.seconds)
        publish(list, at = SETTLED + 2.seconds)
        expectThat(entry.offered)
            .containsExactly(update(list), update(list), update(null), update(list), update(list))
    }

    /** Guards against entries that apply a list which a former leader read before it lost leadership. */
    @Test
    fun `a list that was read before a loss of leadership is not sent`() {
        val entry = entry("e1")
        val read = publisher.beginRead(NOW)
        publisher.stop()
        publisher.publish(read, list, NOW)
        expectThat(entry.offered + entry("e2").offered).isEmpty()
    }

    /** Guards against the same failure by a leader that stalled during the read and has not noticed its replacement. */
    @Test
    fun `a list whose read exceeded the time limit is not sent`() {
        val entry = entry("e1")
        publisher.publish(publisher.beginRead(NOW), list, NOW + 7.seconds)
        expectThat(entry.offered + entry("e2").offered).isEmpty()
        publisher.publish(publisher.beginRead(NOW), list, NOW + 500.milliseconds)
        expectThat(entry.offered).containsExactly(update(list))
    }

    private companion object {
        val NOW = Moment.ZERO

        /** Time from which on no list of a former leader arrives. */
        val SETTLED = NOW + 5.seconds
    }
}
