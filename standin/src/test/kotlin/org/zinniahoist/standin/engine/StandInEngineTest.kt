package org.zinniahoist.standin.engine

import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import org.zinniahoist.standin.awaitUntil
import org.zinniahoist.standin.bindExclusively
import org.zinniahoist.standin.client
import org.zinniahoist.standin.client.LiveCaller
import org.zinniahoist.standin.client.LiveOutcome
import org.zinniahoist.standin.http.standInJson
import org.zinniahoist.standin.postJson
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import java.net.BindException
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val PROMPT = "Suggest a restocking order for the shop in Lhotka."

class StandInEngineTest {
    private val fast = EngineConfiguration(clockRate = 20.0, loadLag = 0.seconds, cacheEventLag = 0.seconds)
    private val long = fast.copy(lengths = LengthDistribution(4_000, 4_001))

    private fun withEngine(configuration: EngineConfiguration = fast, test: (StandInEngine) -> Unit) =
        StandInEngine(configuration).start().use(test)

    private fun caller(engine: StandInEngine) = LiveCaller(listOf(engine.address), "token", "suggestion")

    private fun StandInEngine.order(order: EngineOrder) =
        client(address).postJson("/orders", standInJson.encodeToString(order)).join()

    @Nested
    inner class Completing {
        /** Guards against streams whose label misses tokens or whose text is not the one of the prompt. */
        @Test
        fun `streams the whole answer with labels`() = withEngine { engine ->
            val outcome = caller(engine).complete(PROMPT, seed = 3).join()
            val answer = AnswerText(PROMPT, 3, 256)
            expectThat(outcome).isA<LiveOutcome.Answered>().and {
                get { defect }.isNull()
                get { text }.isEqualTo(answer.text())
                get { spans }.isEqualTo(listOf(VersionSpan(1, answer.tokens)))
            }
        }

        /** Guards against chat answers that are built from another prompt than the checks use. */
        @Test
        fun `streams a chat answer`() = withEngine { engine ->
            val messages = listOf(ChatMessage("system", "Be brief."), ChatMessage("user", PROMPT))
            expectThat(caller(engine).chat(messages).join()).isA<LiveOutcome.Answered>().get { defect }.isNull()
        }

        /** Guards against an answer without spans when it is not streamed. */
        @Test
        fun `gives spans with an answer that is not streamed`() = withEngine { engine ->
            val body = """{"model":"suggestion","prompt":"$PROMPT","seed":5,"max_tokens":7}"""
            val response = client(engine.address).postJson("/v1/completions", body).join()
            val json = standInJson.parseToJsonElement(response.contentUtf8()).jsonObject
            val text = json.getValue("choices").jsonArray[0].jsonObject.getValue("text").jsonPrimitive.content
            expectThat(AnswerCheck.problem(PROMPT, text, 7)).isNull()
            expectThat(json.getValue("spans").toString()).isEqualTo("""[{"version":1,"tokens":7}]""")
        }

        /** Guards against a resumed stream that repeats or skips tokens. */
        @Test
        fun `continues exactly after the resumed tokens`() = withEngine { engine ->
            val body = """{"model":"suggestion","prompt":"$PROMPT","max_tokens":9,"resume_tokens":4}"""
            val response = client(engine.address).postJson("/v1/completions", body).join()
            val json = standInJson.parseToJsonElement(response.contentUtf8()).jsonObject
            val text = json.getValue("choices").jsonArray[0].jsonObject.getValue("text").jsonPrimitive.content
            val answer = AnswerText(PROMPT, 0, 9)
            val start = (0 until 4).joinToString("") { answer.token(it) }
            expectThat(start + text).isEqualTo(answer.text())
            expectThat(json.getValue("spans").toString()).isEqualTo("""[{"version":1,"tokens":5}]""")
        }

        /** Guards against a batch that grows over its maximum or ignores closed connections. */
        @Test
        fun `bounds the batch and frees the place of a cancelled stream`() =
            withEngine(long.copy(maximumBatch = 2)) { engine ->
                engine.faults.pauseBeforeFirstToken = 60_000.seconds
                val body = """{"model":"suggestion","prompt":"$PROMPT","max_tokens":4000,"stream":true}"""
                val first = client(engine.address).post("/v1/completions", body)
                first.subscribe()
                awaitUntil { engine.currentLoad.running == 1 }
                repeat(2) { client(engine.address).postJson("/v1/completions", body) }
                awaitUntil { engine.currentLoad.running == 2 && engine.currentLoad.waiting == 1 }
                first.abort()
                awaitUntil { engine.currentLoad.running == 2 && engine.currentLoad.waiting == 0 }
            }
    }

    @Nested
    inner class Ordering {
        /** Guards against a swap that relabels tokens which the old version generated. */
        @Test
        fun `labels a stream that outlives a swap with both versions`() =
            withEngine(long.copy(swapTime = 10.milliseconds)) { engine ->
                val outcome = caller(engine).complete(PROMPT, maximumTokens = 600)
                awaitUntil { engine.generatedTokens > 3 }
                engine.order(EngineOrder("load-version", "suggestion", 2, fencingToken = 1))
                expectThat(outcome.join()).isA<LiveOutcome.Answered>().and {
                    get { defect }.isNull()
                    get { spans.map { it.version } }.isEqualTo(listOf(1L, 2L))
                }
            }

        /** Guards against an engine that lets a cut-off leader replace weights. */
        @Test
        fun `rejects an old fencing token only if configured to`() {
            val statuses =
                listOf(true, false).map { checks ->
                    StandInEngine(fast.copy(checksFencingTokens = checks)).start().use { engine ->
                        engine.order(EngineOrder("load-version", "suggestion", 2, fencingToken = 7))
                        val second = engine.order(EngineOrder("load-version", "suggestion", 3, fencingToken = 6))
                        second.status().code() to engine.appliedOrders.size
                    }
                }
            expectThat(statuses).isEqualTo(listOf(409 to 1, 200 to 2))
        }

        /** Guards against adapters and roles that are accepted without effect. */
        @Test
        fun `loads adapters and changes the role`() = withEngine { engine ->
            engine.order(EngineOrder("load-adapter", "suggestion-north", 4))
            engine.order(EngineOrder("change-role", role = "prefill"))
            expectThat(engine.currentLoad.versions).isEqualTo(mapOf("suggestion" to 1L, "suggestion-north" to 4L))
            expectThat(engine.currentLoad.role).isEqualTo("prefill")
        }

        /** Guards against a failed swap that reports the new version. */
        @Test
        fun `reports the old or no version after a failed swap`() = withEngine { engine ->
            val reported =
                SwapFailure.entries.map { failure ->
                    engine.faults.nextSwapFailure = failure
                    val answer = engine.order(EngineOrder("load-version", "suggestion", 2))
                    answer.status().code() to engine.currentLoad.versions["suggestion"]
                }
            expectThat(reported).isEqualTo(listOf(500 to 1L, 500 to null))
            expectThat(engine.appliedOrders).hasSize(0)
        }
    }

    @Nested
    inner class Failing {
        /** Guards against a crash that ends streams as if they were complete. */
        @Test
        fun `resets streams at a crash and serves again on the same port after a restart`() =
            withEngine(long) { engine ->
                val outcome = caller(engine).complete(PROMPT, maximumTokens = 4_000)
                awaitUntil { engine.generatedTokens > 3 }
                val port = engine.port
                engine.crash()
                expectThat(outcome.join()).isA<LiveOutcome.Broken>()
                expectThat(caller(engine).complete(PROMPT).join()).isA<LiveOutcome.Broken>()
                assertThrows<BindException> { bindExclusively(port) }
                engine.start()
                expectThat(engine.port).isEqualTo(port)
                expectThat(caller(engine).complete(PROMPT, 5).join()).isA<LiveOutcome.Answered>()
            }

        /** Guards against a poison prompt that is answered. */
        @Test
        fun `crashes on a poison prompt`() = withEngine { engine ->
            expectThat(caller(engine).complete("<<poison>>").join()).isA<LiveOutcome.Broken>()
            awaitUntil { engine.crashes == 1 }
            engine.start()
            expectThat(caller(engine).complete(PROMPT, 5).join()).isA<LiveOutcome.Answered>()
        }

        /** Guards against a silence that also reaches new connections or that ends the old ones. */
        @Test
        fun `goes silent on open connections while new ones work`() = withEngine(long) { engine ->
            val silent = caller(engine).complete(PROMPT, maximumTokens = 2_000)
            awaitUntil { engine.generatedTokens > 3 }
            engine.silenceOpenConnections()
            com.linecorp.armeria.client.ClientFactory.builder().build().use { factory ->
                val fresh = LiveCaller(listOf(engine.address), "token", "suggestion", factory)
                expectThat(fresh.complete(PROMPT, 5).join()).isA<LiveOutcome.Answered>()
            }
            awaitUntil { engine.currentLoad.running == 0 }
            expectThat(silent.isDone).isFalse()
        }

        /** Guards against a pause that also delays streams that are already decoding. */
        @Test
        fun `pauses before the first token`() = withEngine { engine ->
            engine.faults.pauseBeforeFirstToken = 60_000.seconds
            val paused = caller(engine).complete(PROMPT, 5)
            awaitUntil { engine.currentLoad.running == 1 }
            engine.faults.pauseBeforeFirstToken = 0.seconds
            expectThat(caller(engine).complete(PROMPT, 5).join()).isA<LiveOutcome.Answered>()
            expectThat(paused.isDone).isFalse()
        }

        /** Guards against an engine that takes work before it is ready. */
        @Test
        fun `answers 503 while it starts`() {
            val engine = StandInEngine(fast)
            engine.faults.startDelay = 60_000.seconds
            engine.start().use {
                expectThat(client(engine.address).get("/health").aggregate().join().status().code()).isEqualTo(503)
            }
        }
    }
}
