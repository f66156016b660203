package org.zinniahoist.daemon.entry

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.zinniahoist.model.FailureReason
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Verdict
import org.zinniahoist.wire.AttemptMessage
import org.zinniahoist.wire.LinkConnection
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import java.net.http.HttpResponse
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

private const val STEP = """{"groups":[{"prompt":"p","samples":3,"maximum_tokens":16}]}"""

class TrainersTest {
    private val fixture = EntryFixture()
    private val version = AtomicLong(5)

    @AfterEach
    fun close() = fixture.close()

    private val draft: suspend FakeSidecar.(LinkConnection, AttemptMessage.StartAttempt) -> Unit = { link, start ->
        repeat(2) { link.chunk(start, it, token("x$it", version.get()), version.get()) }
        link.end(start, 2)
    }

    private suspend fun submit(entry: Entry, step: Int = 1, body: String = STEP) =
        fixture.call(entry, "PUT", "/v1/trainers/t/steps/$step", body, "token-t").statusCode()

    private suspend fun fetch(entry: Entry, query: String = "wait_ms=60000", trainer: String = "t") =
        fixture.call(entry, "GET", "/v1/trainers/$trainer/samples?$query", token = "token-$trainer")

    private fun HttpResponse<String>.samples() = json["samples"]!!.jsonArray.map { it.jsonObject }

    private fun HttpResponse<String>.text(name: String) = json[name]!!.jsonPrimitive.content

    private fun JsonObject.text(name: String) = getValue(name).jsonPrimitive.content

    private suspend fun acknowledge(entry: Entry, samples: List<String>, trainer: String = "t") = fixture.call(
        entry,
        "POST",
        "/v1/trainers/$trainer/acknowledgements",
        """{"samples":[${samples.joinToString(",") { "\"$it\"" }}]}""",
        "token-$trainer",
    )

    private suspend fun announce(entry: Entry, number: Long) =
        fixture.call(entry, "PUT", "/v1/trainers/t/version", """{"version":$number}""", "token-t").statusCode()

    /** Fetches and acknowledges until the step is done and returns each sample that was received. */
    private suspend fun collect(entry: Entry): List<JsonObject> = buildList {
        var cursor = ""
        while (true) {
            val answer = fetch(entry, "wait_ms=60000&cursor=$cursor")
            if (answer.statusCode() != 200) continue
            val samples = answer.samples()
            addAll(samples)
            if (samples.isNotEmpty()) acknowledge(entry, samples.map { it.text("identifier") })
            if (answer.text("remaining").toInt() == samples.size) return@buildList
            cursor = answer.text("cursor")
        }
    }

    @Nested
    inner class Delivery {
        @Test
        fun `each sample arrives once with its text and label`(): Unit = runBlocking {
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
        fun `a lost fetch answer is fetched again and an acknowledged sample is not`(): Unit = runBlocking {
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
        fun `a broken draft goes on with both versions in its label`(): Unit = runBlocking {
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
        fun `a sample with a token of unknown version or without tokens is drafted again`(): Unit = runBlocking {
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
        fun `a sample over the bound at delivery is drafted again`(): Unit = runBlocking {
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
    inner class Holders {
        @Test
        fun `another entry takes over from a dead holder and each sample counts once`(): Unit = runBlocking {
            val first = fixture.entry("e1", FakeSidecar("s", ::engine, draft))
            submit(first)
            until { fetch(first).samples().size == 3 }
            val old = fetch(first)
            acknowledge(first, listOf("t/1/0/1"))
            first.close()
            val second = fixture.entry("e2", FakeSidecar("s2", ::engine, draft))
            fixture.control.time.addAndGet(10_001)
            val cursor = old.text("cursor")
            until {
                fetch(second, "wait_ms=60000&cursor=$cursor").let { it.statusCode() == 200 && it.samples().size == 2 }
            }
            val samples = collect(second)
            expectThat(samples.map { it.text("identifier") }.sorted()).isEqualTo(listOf("t/1/0/0", "t/1/0/2"))
            expectThat(samples.first().text("attempt")).isNotEqualTo(old.samples().first().text("attempt"))
        }

        @Test
        fun `an entry forwards to the holder`(): Unit = runBlocking {
            val first = fixture.entry("e1", FakeSidecar("s", ::engine, draft))
            submit(first)
            until { fetch(first).samples().size == 3 }
            val second = fixture.entry("e2", entries = mapOf(InstanceName("e1") to first.linkEndpoint!!))
            until { fetch(second).statusCode() == 200 }
            expectThat(fetch(second).body()).isEqualTo(fetch(first).body())
            expectThat(submit(second, step = 2)).isEqualTo(201)
            until { fetch(second).samples().size == 6 }
        }

        @Test
        fun `a paused holder that lost its lease delivers nothing`(): Unit = runBlocking {
            val first = fixture.entry("e1", FakeSidecar("s", ::engine, draft))
            submit(first)
            until { fetch(first).samples().size == 3 }
            val second = fixture.entry("e2", FakeSidecar("s2", ::engine, draft))
            // The first entry renews every 3 s, so the step in time may need to be repeated.
            until {
                fixture.control.time.addAndGet(10_001)
                fetch(second).statusCode() == 200
            }
            expectThat(fetch(first).statusCode()).isEqualTo(503)
        }

        @Test
        fun `a draining holder hands over and gives the lease back`(): Unit = runBlocking {
            val first = fixture.entry("e1", FakeSidecar("s", ::engine, draft))
            submit(first)
            until { fetch(first).samples().size == 3 }
            val drained = async { first.drain() }
            until { fixture.call(first, "GET", "/health/ready").statusCode() == 503 }
            val samples = fetch(first).samples().map { it.text("identifier") }
            acknowledge(first, samples.take(2))
            acknowledge(first, samples.drop(2))
            drained.await()
            val second = fixture.entry("e2", FakeSidecar("s2", ::engine, draft))
            submit(second, step = 2)
            expectThat(collect(second)).hasSize(3)
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
        fun `without a control majority a step is refused as not run`(): Unit = runBlocking {
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

    @Nested
    inner class Duplicates {
        @Test
        fun `of two attempts of one sample one counts`(): Unit = runBlocking {
            val gate = CompletableDeferred<Unit>()
            val slow = FakeSidecar("s", ::engine) { link, start ->
                gate.await()
                draft(link, start)
            }
            val first = fixture.entry("e1", slow)
            submit(first, body = STEP.replace("3", "1"))
            slow.starts.receive()
            val second = fixture.entry("e2", FakeSidecar("s2", ::engine, draft))
            until {
                fixture.control.time.addAndGet(10_001)
                fetch(second).let { it.statusCode() == 200 && it.samples().size == 1 }
            }
            val counted = fetch(second).samples().single().text("attempt")
            gate.complete(Unit)
            until { fetch(first).statusCode() == 503 }
            expectThat(fetch(second).samples().single().text("attempt")).isEqualTo(counted)
            expectThat(collect(second).single()["tokens"]!!.jsonPrimitive.int).isEqualTo(2)
        }
    }
}
