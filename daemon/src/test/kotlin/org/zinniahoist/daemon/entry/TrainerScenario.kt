package org.zinniahoist.daemon.entry

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.AfterEach
import org.zinniahoist.wire.AttemptMessage
import org.zinniahoist.wire.LinkConnection
import java.net.http.HttpResponse
import java.util.concurrent.atomic.AtomicLong

/** A step of one group with three samples. */
internal const val STEP: String = """{"groups":[{"prompt":"p","samples":3,"maximum_tokens":16}]}"""

/** Base of tests that send requests of the trainer `t`, with an upstream that generates its samples. */
internal abstract class TrainerScenario {
    protected val fixture = EntryFixture()
    protected val version = AtomicLong(5)

    @AfterEach
    fun close() = fixture.close()

    protected val draft: suspend FakeSidecar.(LinkConnection, AttemptMessage.StartAttempt) -> Unit = { link, start ->
        repeat(2) { link.chunk(start, it, token("x$it", version.get()), version.get()) }
        link.end(start, 2)
    }

    protected suspend fun submit(entry: Entry, step: Int = 1, body: String = STEP) =
        fixture.call(entry, "PUT", "/v1/trainers/t/steps/$step", body, "token-t").statusCode()

    protected suspend fun fetch(entry: Entry, query: String = "wait_ms=60000", trainer: String = "t") =
        fixture.call(entry, "GET", "/v1/trainers/$trainer/samples?$query", token = "token-$trainer")

    protected fun HttpResponse<String>.samples() = json["samples"]!!.jsonArray.map { it.jsonObject }

    protected fun HttpResponse<String>.text(name: String) = json[name]!!.jsonPrimitive.content

    protected fun JsonObject.text(name: String) = getValue(name).jsonPrimitive.content

    protected suspend fun acknowledge(entry: Entry, samples: List<String>, trainer: String = "t") = fixture.call(
        entry,
        "POST",
        "/v1/trainers/$trainer/acknowledgements",
        """{"samples":[${samples.joinToString(",") { "\"$it\"" }}]}""",
        "token-$trainer",
    )

    protected suspend fun announce(entry: Entry, number: Long) =
        fixture.call(entry, "PUT", "/v1/trainers/t/version", """{"version":$number}""", "token-t").statusCode()

    /** Fetches and acknowledges until the step is complete and returns all received samples. */
    protected suspend fun collect(entry: Entry): List<JsonObject> = buildList {
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
}
