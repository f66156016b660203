package org.zinniahoist.daemon.entry

import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.AfterEach
import org.zinniahoist.wire.AttemptMessage
import org.zinniahoist.wire.LinkConnection
import java.net.http.HttpResponse

/** Base of tests that send requests of live callers to an upstream with complete responses. */
internal abstract class LiveScenario {
    protected val fixture = EntryFixture()

    @AfterEach
    fun close() = fixture.close()

    protected val whole: suspend FakeSidecar.(LinkConnection, AttemptMessage.StartAttempt) -> Unit = { link, start ->
        link.chunk(start, 0, "whole ")
        link.chunk(start, 1, "answer")
        link.end(start, 2)
    }

    protected suspend fun EntryFixture.ready(vararg sidecars: FakeSidecar): Entry {
        val entry = entry("e1", *sidecars)
        until { "\"m\"" in call(entry, "GET", "/v1/models").body() || sidecars.isEmpty() }
        until { complete(entry).statusCode() != 503 || sidecars.isEmpty() }
        return entry
    }

    protected fun HttpResponse<String>.verdict() = json["verdict"]?.jsonPrimitive?.content

    protected fun HttpResponse<String>.reason() =
        if (body().startsWith("{")) json["reason"]?.jsonPrimitive?.content else null
}
