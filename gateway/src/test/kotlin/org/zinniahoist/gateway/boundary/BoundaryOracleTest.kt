package org.zinniahoist.gateway.boundary

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isNotEmpty

/** Guards against a fuzz test that can't fail: plants each kind of fault into what an entry made of a connection. */
internal class BoundaryOracleTest {
    private val oracle = BoundaryOracle { it.target.startsWith("/s/") }
    private val first = request("/s/a%20b", "x-request" to "1", "x-a" to "\u00e9")
    private val second = request("/s//c", "x-request" to "2")
    private val other = request("/t/", "x-request" to "3")
    private val sent = listOf(first, second, other)
    private val statuses = listOf(200, 200, 404)

    private fun request(target: String, vararg fields: Pair<String, String>) =
        WireRequest("GET", target, fields.associate { (name, value) -> name to listOf(value) }, "")

    private fun faults(ran: List<WireRequest>, statuses: List<Int> = this.statuses) =
        oracle.faults(sent, Observation(ran, statuses))

    @Test
    fun `a sound observation has no fault`() {
        expectThat(faults(listOf(second, first))).isEmpty()
        expectThat(faults(listOf(first, second), statuses + 400)).isEmpty()
        val own = mapOf("x-upstream" to listOf("u1"), "user-agent" to listOf("x"))
        expectThat(faults(listOf(first.copy(fields = first.fields + own), second))).isEmpty()
    }

    @Test
    fun `each planted fault is found`() {
        val planted = listOf(
            listOf(first.copy(target = "/s/a+b"), second),
            listOf(first.copy(method = "DELETE"), second),
            listOf(first.copy(body = "x"), second),
            listOf(first.copy(fields = first.fields + ("x-a" to listOf("\u00c3\u00a9"))), second),
            listOf(first.copy(fields = first.fields - "x-a"), second),
            listOf(first, second.copy(target = "/s/c")),
            listOf(first),
            listOf(first, first, second),
            listOf(first, second, other),
            listOf(first, second, request("/s/behind", "x-request" to "4")),
        )
        for (ran in planted) expectThat(faults(ran)).describedAs("$ran").isNotEmpty()
        for (wrong in listOf(listOf(200, 200), listOf(200, 500, 404), statuses + 200, statuses + 500)) {
            expectThat(faults(listOf(first, second), wrong)).describedAs("$wrong").isNotEmpty()
        }
    }
}
