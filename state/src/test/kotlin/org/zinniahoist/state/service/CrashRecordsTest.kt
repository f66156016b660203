package org.zinniahoist.state.service

import org.junit.jupiter.api.Test
import org.zinniahoist.model.UpstreamIdentity
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.seconds

internal class CrashRecordsTest {
    private val records = CrashRecords(10.seconds, capacity = 3)

    private fun record(
        fingerprint: Long,
        vararg upstreams: String,
        completed: List<Long> = emptyList(),
        time: Long = 1_000,
        age: Long = 100,
    ) = records.record(
        ServiceCommand.RecordCrashes(upstreams.map { CrashReport(fingerprint, UpstreamIdentity(it), age) }, completed),
        time,
    )

    private fun upstreams() = records.all.map { it.upstream.value }

    /** Guards against a crash that counts twice because two leaders with different clocks recorded it. */
    @Test
    fun `an upstream is recorded once for each request`() {
        record(7, "a", "b", "a")
        record(7, "b", "c", time = 9_000)
        expectThat(upstreams()).containsExactly("a", "b", "c")
        expectThat(records.all.first().timeMilliseconds).isEqualTo(900)
    }

    /** Guards against a request that is blocked for crashes before a completed run. */
    @Test
    fun `a completed run removes the crashes of its request only`() {
        record(7, "a")
        record(8, "a")
        record(7, "b", completed = listOf(7))
        expectThat(records.byRequest[7].orEmpty().map { it.upstream.value }).containsExactly("b")
        expectThat(records.byRequest[8].orEmpty()).hasSize(1)
    }

    /** Guards against a request that is refused long after a new version of the upstreams can serve it. */
    @Test
    fun `crashes expire`() {
        record(7, "a")
        record(7, "b", time = 5_000)
        records.expire(11_000)
        expectThat(upstreams()).containsExactly("b")
        records.expire(15_000)
        expectThat(upstreams()).isEmpty()
    }

    /** Guards against unbounded memory, and against forgetting a blocked request for the sake of innocent ones. */
    @Test
    fun `the requests with the fewest crashes are evicted first`() {
        record(1, "a", "b", "c")
        for (fingerprint in 2L..9L) record(fingerprint, "d")
        expectThat(records.byRequest.keys).containsExactlyInAnyOrder(1L, 8L, 9L)
        expectThat(records.contains(1, UpstreamIdentity("c"))).isTrue()
    }

    /** Guards against a replica that diverges after it was restored from a snapshot. */
    @Test
    fun `the records are restored from a snapshot`() {
        record(7, "a", "b")
        val restored = CrashRecords(10.seconds).also { it.restore(records.all) }
        expectThat(restored.byRequest).isEqualTo(records.byRequest)
    }
}
