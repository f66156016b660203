package org.zinniahoist.standin.engine

import com.linecorp.armeria.common.AggregatedHttpResponse
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.zinniahoist.standin.StandInClock
import org.zinniahoist.standin.awaitUntil
import org.zinniahoist.standin.client
import org.zinniahoist.standin.http.standInJson
import org.zinniahoist.standin.postJson
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.seconds

class EngineCacheTest {
    private val fast =
        EngineConfiguration(
            clockRate = 20.0,
            loadLag = 0.seconds,
            cacheEventLag = 0.seconds,
            cacheEventLossEvery = 0,
            lengths = LengthDistribution(4_000, 4_001),
        )

    // Four blocks of the prefix cache.
    private val prompt = "Sixteen letters.".repeat(16)

    private fun withEngine(configuration: EngineConfiguration = fast, test: (StandInEngine) -> Unit) =
        StandInEngine(configuration).start().use(test)

    private fun StandInEngine.post(path: String, body: String) = client(address).postJson(path, body)

    private fun StandInEngine.events(after: Long = 0): CacheEventPage = standInJson.decodeFromString(
        client(address).get("/cache/events?after=$after").aggregate().join().contentUtf8(),
    )

    private fun AggregatedHttpResponse.json(): JsonObject = standInJson.parseToJsonElement(contentUtf8()).jsonObject

    private fun AggregatedHttpResponse.choice() = json().getValue("choices").jsonArray[0].jsonObject

    private fun body(maximumTokens: Int, more: String = "", prompt: String = this.prompt) =
        """{"model":"suggestion","prompt":"$prompt","seed":3,"max_tokens":$maximumTokens$more}"""

    @Nested
    inner class Moving {
        private val answer = AnswerText(prompt, 3, 400, fast.lengths)

        private fun export(engine: StandInEngine): KvExport {
            engine.post("/v1/completions", body(400, ""","request_id":"r1""""))
            awaitUntil { engine.generatedTokens > 3 }
            val response = engine.post("/kv/export", """{"request_id":"r1"}""").join()
            return standInJson.decodeFromString(response.contentUtf8())
        }

        private fun import(export: KvExport, more: String = "", prompt: String = this@EngineCacheTest.prompt) =
            StandInEngine(fast).start().use { engine ->
                val handle = ""","kv_handle":"${export.handle}""""
                val response = engine.post("/v1/completions", body(400, handle + more, prompt)).join()
                response to engine.events().events
            }

        private fun textFrom(position: Int) = (position until answer.tokens).joinToString("") { answer.token(it) }

        /** Guards against an import that repeats, skips or prefills tokens. */
        @Test
        fun `continues an exported stream without a prefill`() = withEngine { engine ->
            val export = export(engine)
            val (response, events) = import(export)
            expectThat(export.spans).isEqualTo(listOf(VersionSpan(1, export.tokens)))
            expectThat(response.choice().getValue("text").jsonPrimitive.content).isEqualTo(textFrom(export.tokens))
            expectThat(events).isEmpty()
        }

        /** Guards against an import that skips tokens which the caller has not received. */
        @Test
        fun `continues after the resumed tokens if the cache holds more`() = withEngine { engine ->
            val (response, _) = import(export(engine), ""","resume_tokens":2""")
            expectThat(response.choice().getValue("text").jsonPrimitive.content).isEqualTo(textFrom(2))
        }

        /** Guards against a cache that is used for another prompt, and against exports of unknown requests. */
        @Test
        fun `refuses foreign handles and unknown requests`() = withEngine { engine ->
            val (response, _) = import(export(engine), prompt = "another prompt")
            expectThat(response.status().code()).isEqualTo(400)
            expectThat(engine.post("/kv/export", """{"request_id":"r2"}""").join().status().code()).isEqualTo(404)
        }
    }

    @Nested
    inner class Events {
        /** Guards against losses without a gap, pages that repeat events and blocks that are stored twice. */
        @Test
        fun `leave gaps for lost events`() = withEngine(fast.copy(cacheEventLossEvery = 3)) { engine ->
            repeat(2) { engine.post("/v1/completions", body(1)).join() }
            val page = engine.events()
            expectThat(page.events.map { it.sequence to it.kind }).isEqualTo(listOf(1L, 2L, 4L).map { it to "stored" })
            expectThat(page.next).isEqualTo(4L)
            expectThat(engine.events(after = 2).events).isEqualTo(page.events.takeLast(1))
        }

        /** Guards against evictions without an event. */
        @Test
        fun `report evictions`() = withEngine(fast.copy(cacheTokens = 32)) { engine ->
            engine.post("/v1/completions", body(1)).join()
            val events = engine.events().events
            expectThat(events.map { it.kind }).isEqualTo(List(4) { "stored" } + List(2) { "removed" })
            expectThat(events.takeLast(2).map { it.block }).isEqualTo(events.take(2).map { it.block })
        }

        /** Guards against events that are readable at once or never. */
        @Test
        fun `are readable after the lag`() = withEngine(fast.copy(cacheEventLag = 10.seconds)) { engine ->
            val clock = StandInClock(20.0)
            engine.post("/v1/completions", body(1)).join()
            awaitUntil { engine.events().events.size == 4 }
            expectThat(clock.now()).isGreaterThanOrEqualTo(10.seconds)
        }
    }

    /** Guards against a chat answer in the format of a text completion. */
    @Test
    fun `answers a chat that is not streamed`() = withEngine { engine ->
        val messages = listOf(ChatMessage("system", "Be brief."), ChatMessage("user", prompt))
        val body = """{"model":"suggestion","messages":${standInJson.encodeToString(messages)},"max_tokens":7}"""
        val response = engine.post("/v1/chat/completions", body).join()
        val message = response.choice().getValue("message").jsonObject
        val json = response.json()
        expectThat(message.getValue("role").jsonPrimitive.content).isEqualTo("assistant")
        val content = message.getValue("content").jsonPrimitive.content
        expectThat(AnswerCheck.problem(ChatMessage.promptOf(messages), content, 7)).isNull()
        expectThat(json.getValue("object").jsonPrimitive.content).isEqualTo("chat.completion")
        expectThat(json.getValue("spans").toString()).isEqualTo("""[{"version":1,"tokens":7}]""")
        expectThat(json.getValue("usage").jsonObject.getValue("completion_tokens").toString()).isEqualTo("7")
    }
}
