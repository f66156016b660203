package org.zinniahoist.daemon.timeline

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.server.Server
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.SampleIdentifier
import org.zinniahoist.model.StepNumber
import org.zinniahoist.model.TrainerName
import org.zinniahoist.state.report.HybridStamp
import org.zinniahoist.state.report.TimelinePage
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.net.InetSocketAddress

class TimelineTest {
    private var wall = 100L
    private val lines = mutableListOf<String>()
    private val clock = HybridClock { wall }
    private val recorder = TimelineRecorder(InstanceName("e1"), clock, capacity = 3, log = lines::add)

    @Nested
    inner class Stamps {
        @Test
        fun `stamps increase when the wall clock goes back`() {
            val first = clock.next()
            wall = 50
            expectThat(clock.next()).isGreaterThan(first)
        }

        @Test
        fun `a stamp goes beyond one observed from another process`() {
            clock.observe(HybridStamp(900, 7))
            expectThat(clock.next()).isEqualTo(HybridStamp(900, 8))
        }
    }

    @Nested
    inner class Records {
        @Test
        fun `the step comes from the sample and the trace identifiers from the trace parent`() {
            val sample = SampleIdentifier(TrainerName("t"), StepNumber(7), 1, 2)
            recorder.record("x", "sample" to sample, "trace" to "00-aa-bb-01", "cause" to null, "count" to 3)
            val event = recorder.page(0, 1).events.single()
            expectThat(event) {
                get { step }.isEqualTo("t/7")
                get { listOf(trace, span) }.containsExactly("aa", "bb")
                get { fields }.isEqualTo(mapOf("count" to "3"))
            }
        }

        @Test
        fun `an instance among the fields is the peer and not the recording instance`() {
            recorder.record("attempt-start", "instance" to "s1")
            expectThat(lines.single()).isEqualTo("event=attempt-start stamp=100.0 instance=e1 peer=s1")
        }

        @Test
        fun `values that would break the key=value form are quoted`() {
            recorder.record("x", "cause" to "a \"b\"\nc=d", "plain" to "ok", "empty" to "")
            expectThat(lines.single()).isEqualTo(
                """event=x stamp=100.0 instance=e1 cause="a \"b\"\nc=d" plain=ok empty=""""",
            )
        }

        @Test
        fun `the buffer keeps the last events and counts the lost ones`() {
            repeat(5) { recorder.record("event-$it", emptyMap()) }
            val page = recorder.page(after = 0, limit = 2)
            expectThat(page.events.map { it.name }).containsExactly("event-2", "event-3")
            expectThat(page.lost).isEqualTo(2)
            expectThat(recorder.page(page.next, 10).events.map { it.name }).containsExactly("event-4")
        }

        @Test
        fun `a cursor from before a restart starts at the first event`() {
            recorder.record("first", emptyMap())
            expectThat(recorder.page(after = 90, limit = 10).events.map { it.name }).containsExactly("first")
        }
    }

    @Test
    fun `events are served by cursor and bad numbers are refused`() {
        val builder = Server.builder().http(InetSocketAddress("127.0.0.1", 0))
        TimelineHttp(recorder).configure(builder)
        val server = builder.build().also { it.start().join() }
        val client = WebClient.of("http://127.0.0.1:${server.activeLocalPort()}")
        recorder.record("first", emptyMap())
        recorder.record("second", emptyMap())
        val page = client.get("/timeline?after=1&limit=5").aggregate().join().contentUtf8()
        val refused = client.get("/timeline?after=-1").aggregate().join().status().code()
        server.stop().join()
        expectThat(Json.decodeFromString(TimelinePage.serializer(), page).events.map { it.name })
            .containsExactly("second")
        expectThat(refused).isEqualTo(400)
    }
}
