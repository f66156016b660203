package org.zinniahoist.state.service

import org.junit.jupiter.api.Test
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.state.StateCodec
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize

internal class PackedResultsTest {
    private fun listed(vararg names: String): List<RecordedResult> {
        val results = names.map { ItemResult(RequestIdentifier(it), isCompleted = true, output = "text of $it") }
        val command = StateCodec.encode<ServiceCommand>(ServiceCommand.RecordResults(JobIdentifier("j"), results))
        return results.mapIndexed { position, result -> RecordedResult(result, command, position) }
    }

    private fun outputs(packed: List<PackedResults>): List<String> =
        StateCodec.decode<List<PackedResults>>(StateCodec.encode(packed)).flatMap { it.whole() }.map { it.output }

    /** Guards against results that are lost, duplicated or reordered on the way to the reader. */
    @Test
    fun `decodes the results in their order`() {
        val results = listed("a", "b", "c").drop(1) + listed("d") + listed("e", "f").take(1)
        val packed = PackedResults.of(results, maximumBytes = 10_000)
        expectThat(packed).hasSize(3)
        expectThat(outputs(packed)).containsExactly("text of b", "text of c", "text of d", "text of e")
    }

    /** Guards against a reader that stalls at a result larger than the page size. */
    @Test
    fun `packs at least one command`() {
        expectThat(outputs(PackedResults.of(listed("a") + listed("b"), maximumBytes = 1))).containsExactly("text of a")
    }
}
