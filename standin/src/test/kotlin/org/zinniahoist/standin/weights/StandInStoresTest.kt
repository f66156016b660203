package org.zinniahoist.standin.weights

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.zinniahoist.standin.StandInClock
import org.zinniahoist.standin.awaitUntil
import org.zinniahoist.standin.client
import org.zinniahoist.standin.engine.EngineConfiguration
import org.zinniahoist.standin.engine.EngineOrder
import org.zinniahoist.standin.engine.StandInEngine
import org.zinniahoist.standin.http.standInJson
import org.zinniahoist.standin.platform.ListedInstance
import org.zinniahoist.standin.platform.StandInPlatformList
import org.zinniahoist.standin.postJson
import org.zinniahoist.standin.scorer.StandInScorer
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import java.net.URI
import kotlin.time.Duration.Companion.seconds

class StandInStoresTest {
    private fun <T : AutoCloseable> T.check(test: (T) -> Unit): Unit = use { test(it) }

    private fun get(address: URI, path: String) = client(address).get(path).aggregate()

    @Nested
    inner class Weights {
        /** Guards against a rate limit that each download has for itself. */
        @Test
        fun `share the rate between downloads`(): Unit = StandInWeightStore(200_000, 20.0).start().check { store ->
            store.publish("suggestion", 2, 200_000)
            val clock = StandInClock(20.0)
            List(2) { get(store.address, "/weights/suggestion/2") }.forEach { it.join() }
            expectThat(clock.now()).isGreaterThanOrEqualTo(2.seconds)
            expectThat(store.sentBytes).isEqualTo(400_000)
        }

        /** Guards against a withdrawn version that engines can still load. */
        @Test
        fun `refuses a withdrawn version and the engine keeps the old one`(): Unit =
            StandInWeightStore(200_000, 20.0).start().check { store ->
                store.publish("suggestion", 2, 1_000)
                store.withdraw("suggestion", 2)
                expectThat(get(store.address, "/weights").join().contentUtf8()).contains("\"withdrawn\":true")
                StandInEngine(EngineConfiguration(clockRate = 20.0)).start().use { engine ->
                    val source = "${store.address}/weights/suggestion/2"
                    val order = EngineOrder("load-version", "suggestion", 2, source = source)
                    val answer = client(engine.address).postJson("/orders", standInJson.encodeToString(order)).join()
                    expectThat(answer.status().code()).isEqualTo(502)
                    expectThat(engine.currentLoad.versions).isEqualTo(mapOf("suggestion" to 1L))
                }
            }
    }

    @Nested
    inner class Lists {
        /** Guards against a list that shows an instance at once or never. */
        @Test
        fun `show an instance after the lag`(): Unit = StandInPlatformList(10.seconds, 20.0).start().check { list ->
            val clock = StandInClock(20.0)
            list.publish(listOf(ListedInstance("a", "127.0.0.1:1", "leaving")))
            val shown = """{"instances":[{"name":"a","address":"127.0.0.1:1","state":"leaving"}]}"""
            awaitUntil { get(list.address, "/instances").join().contentUtf8() == shown }
            expectThat(clock.now()).isGreaterThanOrEqualTo(10.seconds)
        }

        /** Guards against a list that forgets the instances which a change that is still hidden removes. */
        @Test
        fun `show the old instances during the lag`(): Unit =
            StandInPlatformList(60_000.seconds).start().check { list ->
                list.publish(listOf(ListedInstance("a", "127.0.0.1:1", "leaving")))
                expectThat(get(list.address, "/instances").join().contentUtf8()).isEqualTo("""{"instances":[]}""")
            }

        /** Guards against scores that differ between runs. */
        @Test
        fun `score a text always the same`(): Unit = StandInScorer().start().check { scorer ->
            val body = client(scorer.address).postJson("/score", """{"text":"a"}""").join().contentUtf8()
            expectThat(body).isEqualTo("""{"score":${scorer.score("a")}}""")
        }
    }
}
