package org.zinniahoist.standin.client

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import org.junit.jupiter.api.Test
import org.zinniahoist.standin.engine.AnswerText
import org.zinniahoist.standin.engine.VersionSpan
import org.zinniahoist.standin.http.standInJson
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class TrainerClientTest {
    private val groups = listOf(TrainerGroup("prompt", 2, 40))

    private fun FakeEntry.client() = TrainerClient(listOf(address), "secret", "t")

    private fun page(index: Int): HttpResponse {
        val answer = AnswerText("prompt", index.toLong(), 40)
        val spans = listOf(VersionSpan(1, answer.tokens))
        val sample = DeliveredSample("t/1/0/$index", "a", answer.text(), answer.tokens, spans)
        return FakeEntry.json(standInJson.encodeToString(SamplePage(listOf(sample), "0.$index", 1 - index)))
    }

    /** Refuses the first fetch and the first acknowledgement. */
    private fun respond(request: AggregatedHttpRequest, earlier: Int) = when {
        FakeEntry.pathOf(request).endsWith("/steps/1") -> FakeEntry.json("{\"samples\":2}", HttpStatus.CREATED)
        FakeEntry.pathOf(request).endsWith("/version") -> FakeEntry.json("{}")
        earlier == 0 -> FakeEntry.refusal()
        FakeEntry.pathOf(request).endsWith("/samples") -> page(earlier - 1)
        else -> FakeEntry.json("{\"acknowledged\":1}")
    }

    /** Guards against lost acknowledgements and against a cursor that is kept after a refusal or not sent. */
    @Test
    fun `collects a step over refused fetches and acknowledgements`() = withEntry(::respond) { entry ->
        val client = entry.client()
        expectThat(client.submit(1, groups)).isEqualTo(TrainerAnswer.Accepted(201, Unit))
        client.announceVersion(3)
        expectThat(client.collect(1)).isEqualTo(0)
        expectThat(client.tally.defects).isEmpty()
        expectThat(client.tally.staleness).isEqualTo(listOf(2L, 2L))
        val calls = entry.requests.map { "${it.method()} ${it.path().removePrefix("/v1/trainers/t/")}" }
        val fetch = "GET samples?cursor=%s&limit=64&wait_ms=1000&version=3"
        val acknowledgement = "POST acknowledgements"
        expectThat(calls).isEqualTo(
            listOf("PUT steps/1", "PUT version", fetch.format(""), fetch.format("")) +
                listOf(acknowledgement, acknowledgement, fetch.format("0.0"), acknowledgement),
        )
    }

    /** Guards against bodies that the entry does not read. */
    @Test
    fun `sends steps, versions and acknowledgements in the entry's format`() = withEntry(::respond) { entry ->
        val client = entry.client()
        client.submit(1, groups)
        client.announceVersion(3)
        client.acknowledge(listOf("t/1/0/0"))
        expectThat(entry.requests.map { it.contentUtf8() }).isEqualTo(
            listOf(
                """{"groups":[{"prompt":"prompt","samples":2,"maximum_tokens":40}]}""",
                """{"version":3}""",
                """{"samples":["t/1/0/0"]}""",
            ),
        )
    }

    /** Guards against a version that the entry refused but the trainer uses, and against exceptions. */
    @Test
    fun `returns refusals and lost connections`() {
        val entry = FakeEntry { _, _ -> FakeEntry.refusal() }
        val client = entry.client()
        expectThat(client.announceVersion(3)).isA<TrainerAnswer.Refused>().get { problem.verdict }.isEqualTo("NOT_RUN")
        expectThat(client.version).isEqualTo(0)
        entry.close()
        expectThat(client.submit(1, groups)).isA<TrainerAnswer.Broken>()
        var polls = 0
        expectThat(client.collect(1) { polls++ == 2 }).isEqualTo(2)
    }
}
