package org.zinniahoist.daemon.entry

import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.zinniahoist.model.FailureReason
import org.zinniahoist.model.Verdict
import org.zinniahoist.wire.AttemptMessage
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.net.http.HttpResponse
import java.util.concurrent.atomic.AtomicInteger

internal class TrainersTest : TrainerScenario() {
    @Nested
    inner class Delivery {
        @Test
        fun `each sample is delivered once with its text and label`(): Unit = runBlocking {
            val entry = fixture.entry("e1", FakeSidecar("s", ::engine, draft))
            expectThat(submit(entry)).isEqualTo(201)
            expectThat(submit(entry)).isEqualTo(200)
            expectThat(submit(entry, body = STEP.replace("3", "4"))).isEqualTo(409)
            val samples = collect(entry)
            expectThat(samples.map { it.text("identifier") }.sorted()).isEqualTo(List(3) { "t/1/0/$it" })
            expectThat(samples).all { get { text("text") }.isEqualTo("x0x1") }
            expectThat(samples.first()["spans"].toString()).isEqualTo("""[{"version":5,"tokens":2}]""")
            expectThat(submit(entry)).isEqualTo(200)
        }

        @Test
        fun `samples of a lost fetch response are delivered again and acknowledged ones are not`(): Unit = runBlocking {
            val entry = fixture.entry("e1", FakeSidecar("s", ::engine, draft))
            submit(entry)
            until { fetch(entry).samples().size == 3 }
            val first = fetch(entry)
            expectThat(fetch(entry).samples()).isEqualTo(first.samples())
            expectThat(fetch(entry, "cursor=${first.text("cursor")}").samples()).isEmpty()
            val earlier = first.text("cursor").replaceBefore('.', "0")
            expectThat(fetch(entry, "cursor=$earlier").samples()).hasSize(3)
            val known = first.samples().first().text("identifier")
            repeat(2) { expectThat(acknowledge(entry, listOf(known)).text("acknowledged")).isEqualTo("1") }
            expectThat(fetch(entry).samples().map { it.text("identifier") })
                .isEqualTo(first.samples().drop(1).map { it.text("identifier") })
        }

        @Test
        fun `an interrupted sample resumes with both versions in its label`(): Unit = runBlocking {
            val sidecar = FakeSidecar("s", ::engine) { link, start ->
                val resumed = "\"resume_tokens\":1" in start.call.body.decodeToString()
                val number = if (resumed) 6L else 5L
                link.chunk(start, 0, token("x", number), number)
                val crash = Verdict.MayHaveRun(FailureReason.UPSTREAM_CRASHED)
                link.end(start, 1, if (resumed) Verdict.Completed else crash)
            }
            val entry = fixture.entry("e1", sidecar)
            submit(entry, body = STEP.replace("3", "1"))
            expectThat(collect(entry).single()["spans"].toString())
                .isEqualTo("""[{"version":5,"tokens":1},{"version":6,"tokens":1}]""")
        }

        @Test
        fun `a sample with a token of unknown version or without tokens is regenerated`(): Unit = runBlocking {
            val calls = AtomicInteger()
            val sidecar = FakeSidecar("s", ::engine) { link, start ->
                when (calls.incrementAndGet()) {
                    1 -> {
                        link.chunk(start, 0, token("good", 5), 5)
                        link.send(AttemptMessage.AttemptChunk(start.attempt, 1, token("bad", 5).toByteArray(), 1, null))
                        link.end(start, 2)
                    }

                    2 -> link.end(start, 0)
                    else -> draft(link, start)
                }
            }
            val entry = fixture.entry("e1", sidecar)
            submit(entry, body = STEP.replace("3", "1"))
            expectThat(collect(entry).single().text("text")).isEqualTo("x0x1")
            expectThat(calls.get()).isEqualTo(3)
        }

        @Test
        fun `a sample over the staleness bound at delivery is regenerated`(): Unit = runBlocking {
            val entry = fixture.entry("e1", FakeSidecar("s", ::engine, draft))
            submit(entry)
            expectThat(announce(entry, 6)).isEqualTo(200)
            until { fetch(entry).samples().size == 3 }
            version.set(7)
            val seen = mutableListOf<HttpResponse<String>>()
            until {
                seen += fetch(entry, "wait_ms=60000&version=7")
                seen.last().samples().size == 3
            }
            val versions = seen.flatMap { it.samples() }
                .map { it["spans"]!!.jsonArray.single().jsonObject["version"]!!.jsonPrimitive.long }
            expectThat(versions).all { isEqualTo(7) }
        }
    }

    @Nested
    inner class Refusals {
        @Test
        fun `a trainer can neither read nor acknowledge another's samples`(): Unit = runBlocking {
            val entry = fixture.entry("e1", FakeSidecar("s", ::engine, draft))
            submit(entry)
            val paths = listOf("GET" to "samples", "POST" to "acknowledgements", "PUT" to "version", "PUT" to "steps/2")
            for ((method, path) in paths) {
                for (token in listOf("token-u", "token-shop")) {
                    val body = if (path == "version") "{\"version\":1}" else STEP
                    val answer = fixture.call(entry, method, "/v1/trainers/t/$path", body, token)
                    expectThat(answer.statusCode() in listOf(400, 401)).isEqualTo(true)
                }
            }
            expectThat(acknowledge(entry, listOf("t/1/0/0"), "u").statusCode()).isEqualTo(400)
            expectThat(collect(entry)).hasSize(3)
        }

        @Test
        fun `a step without a control majority is refused as not run`(): Unit = runBlocking {
            val entry = fixture.entry("e1")
            fixture.control.available = false
            val answer = fixture.call(entry, "PUT", "/v1/trainers/t/steps/1", STEP, "token-t")
            expectThat(answer.statusCode()).isEqualTo(503)
            expectThat(answer.text("verdict")).isEqualTo("not-run")
        }

        @ParameterizedTest
        @CsvSource(
            delimiter = '|',
            value = [
                "PUT|steps/x|{\"groups\":[{\"prompt\":\"p\",\"samples\":1}]}",
                "PUT|steps/-1|{\"groups\":[{\"prompt\":\"p\",\"samples\":1}]}",
                "PUT|steps/1|{",
                "PUT|steps/1|[]",
                "PUT|steps/1|{\"groups\":[]}",
                "PUT|steps/1|{\"groups\":[{\"prompt\":\"p\",\"samples\":0}]}",
                "PUT|steps/1|{\"groups\":[{\"prompt\":\"p\"}]}",
                "PUT|steps/1|{\"groups\":[{\"prompt\":7,\"samples\":[]}]}",
                "PUT|steps/1|{\"groups\":[{\"prompt\":\"p\",\"samples\":1,\"other\":1}]}",
                "POST|acknowledgements|{\"samples\":[\"t/1/0\"]}",
                "POST|acknowledgements|{\"samples\":[\"u/1/0/0\"]}",
                "PUT|version|{\"version\":-1}",
                "PUT|version|{\"version\":\"x\"}",
                "GET|samples?cursor=1|''",
                "GET|samples?cursor=a.b|''",
                "GET|samples?limit=0|''",
                "GET|samples?limit=x|''",
                "GET|samples?wait_ms=-1|''",
                "GET|samples?version=x|''",
            ],
        )
        fun `a malformed request is refused as not run`(method: String, path: String, body: String): Unit =
            runBlocking {
                val answer = fixture.call(fixture.entry("e1"), method, "/v1/trainers/t/$path", body, "token-t")
                expectThat(answer.statusCode()).isEqualTo(400)
                expectThat(answer.text("verdict")).isEqualTo("not-run")
            }
    }
}
