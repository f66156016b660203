package org.zinniahoist.gateway.core

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isTrue

internal class BatchEngineTest {
    private val fixture = EngineFixture()

    @AfterEach
    fun close() = fixture.close()

    /** Guards against an item that no run holds and no result lists: its trainer would wait for it in vain. */
    @Test
    fun `runs an item again whose result was lost with an earlier term`() {
        fixture.log = ResultLog { _, _, _ -> }
        fixture.routes(EngineFixture.route())
        fixture.submit("j", EngineFixture.item("a"))
        fixture.activate()
        expectThat(fixture.eventually { fixture.proposed.size == 1 }).isTrue()
        fixture.activate()
        expectThat(fixture.eventually { fixture.asked.size == 2 }).isTrue()
    }
}
