package org.zinniahoist.daemon.entry

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.zinniahoist.model.InstanceName
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo

internal class TrainerHoldersTest : TrainerScenario() {
    @Nested
    inner class Holders {
        @Test
        fun `another entry takes over the lease of a dead holder and each sample counts once`(): Unit = runBlocking {
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
        fun `an entry forwards requests to the lease holder`(): Unit = runBlocking {
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
            // The first entry renews its lease every 3 s, so the clock may have to be advanced more than once.
            until {
                fixture.control.time.addAndGet(10_001)
                fetch(second).statusCode() == 200
            }
            expectThat(fetch(first).statusCode()).isEqualTo(503)
        }

        @Test
        fun `a draining holder delivers its samples and surrenders the lease`(): Unit = runBlocking {
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
    inner class Duplicates {
        @Test
        fun `only one of two attempts of a sample counts`(): Unit = runBlocking {
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
