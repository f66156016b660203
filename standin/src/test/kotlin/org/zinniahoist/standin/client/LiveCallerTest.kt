package org.zinniahoist.standin.client

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import kotlinx.serialization.json.jsonObject
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.zinniahoist.standin.engine.ChatMessage
import org.zinniahoist.standin.http.standInJson
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class LiveCallerTest {
    private fun FakeEntry.caller() = LiveCaller(listOf(address), "secret", "suggestion")

    private fun outcomeOfStream(content: String) =
        FakeEntry { _, _ -> HttpResponse.of(HttpStatus.OK, MediaType.EVENT_STREAM, content) }
            .use { it.caller().complete("prompt").join() }

    @Nested
    inner class Completing {
        /** Guards against members such as `resume_tokens`, for which an entry refuses the request. */
        @Test
        fun `sends no member that the service sets`() = withEntry({ _, _ -> FakeEntry.refusal() }) { entry ->
            entry.caller().complete("prompt", seed = 2).join()
            entry.caller().chat(listOf(ChatMessage("user", "prompt"))).join()
            val members = entry.requests.map { standInJson.parseToJsonElement(it.contentUtf8()).jsonObject.keys }
            expectThat(members).isEqualTo(
                listOf(
                    setOf("model", "prompt", "stream", "seed", "max_tokens"),
                    setOf("model", "messages", "stream", "max_tokens"),
                ),
            )
        }

        /** Guards against streams that are taken as whole without their end, or that never end the call. */
        @Test
        fun `reports a stream that is cut or malformed as broken`() {
            val chunk = "data: {\"choices\":[{\"text\":\"a\"}],\"tokens\":1}\n\n"
            expectThat(outcomeOfStream(chunk)).isA<LiveOutcome.Broken>().get { text }.isEqualTo("a")
            expectThat(outcomeOfStream("${chunk}data: {broken\n\ndata: [DONE]\n\n")).isA<LiveOutcome.Broken>()
        }
    }

    @Nested
    inner class Posting {
        /** Guards against requests that lose their key, their token or their body. */
        @Test
        fun `sends key, token and body and returns the answer`() =
            withEntry({ _, _ -> FakeEntry.json("{\"number\":1}", HttpStatus.CREATED) }) { entry ->
                val outcome = entry.caller().post(
                    "orders",
                    "orders",
                    "{\"a\":1}",
                    "key-1",
                    mapOf("x-deadline" to "5"),
                ).join()
                expectThat(outcome).isA<LiveOutcome.Served>().and {
                    get { status }.isEqualTo(201)
                    get { body }.isEqualTo("{\"number\":1}")
                }
                entry.caller().post("orders", "orders", "{}").join()
                val (first, second) = entry.requests
                val names = listOf("idempotency-key", "authorization", "x-deadline")
                expectThat(first.path()).isEqualTo("/services/orders/orders")
                expectThat(names.map { first.headers().get(it) }).isEqualTo(listOf("key-1", "Bearer secret", "5"))
                expectThat(first.contentUtf8()).isEqualTo("{\"a\":1}")
                expectThat(second.headers().get("idempotency-key")).isNull()
            }

        /** Guards against refusals without their verdict and their delay. */
        @Test
        fun `returns refusals with the verdict`() = withEntry({ _, _ -> FakeEntry.refusal() }) { entry ->
            expectThat(entry.caller().post("orders", "orders", "{}").join())
                .isEqualTo(LiveOutcome.Refused(Problem(503, "NOT_RUN", "overload", "full", "3")))
        }

        /** Guards against a future that fails, or a success, when the connection is lost. */
        @Test
        fun `reports a lost connection as broken`() {
            val closed = FakeEntry { _, _ -> FakeEntry.refusal() }
            closed.close()
            expectThat(closed.caller().post("orders", "orders", "{}").join())
                .isA<LiveOutcome.Broken>()
                .get { cause }
                .contains("Exception")
        }

        /** Guards against a caller that uses only one of its entries. */
        @Test
        fun `takes its entries in turn`() {
            val entries = List(2) { FakeEntry { _, _ -> FakeEntry.json("{}") } }
            val caller = LiveCaller(entries.map { it.address }, "secret", "suggestion")
            repeat(4) { caller.post("orders", "orders", "{}").join() }
            expectThat(entries.map { it.requests.size }).isEqualTo(listOf(2, 2))
            entries.forEach { it.close() }
        }
    }
}
