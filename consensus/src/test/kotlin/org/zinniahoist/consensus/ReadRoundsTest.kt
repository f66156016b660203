package org.zinniahoist.consensus

import org.junit.jupiter.api.Test
import org.zinniahoist.consensus.ReplicaMessageContent.AppendRequest
import org.zinniahoist.consensus.ReplicaMessageContent.AppendResponse
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds

/** Tests the rounds in which a leader confirms its leadership before it answers reads. */
internal class ReadRoundsTest : ReplicaFixture() {
    private val replica by lazy { leader().also { it.receive(1, AppendResponse(true, 2, 2, 0)) } }

    private fun read(request: Long) = replica.step(ReplicaEvent.Read(request))

    private fun confirm(round: Long) = replica.receive(1, AppendResponse(true, 2, 2, round))

    private fun List<ReplicaAction>.rounds() = sent().filterIsInstance<AppendRequest>().map { it.round }

    private fun List<ReplicaAction>.answered() = filterIsInstance<ReplicaAction.AnswerRead>().map { it.request }

    /** Guards against one confirmation message per peer and read under many concurrent reads. */
    @Test
    fun `reads that arrive during a round share the next one`() {
        expectThat(read(1).rounds()).containsExactly(1, 1)
        val during = (2L..50L).flatMap { read(it) }
        expectThat(during.rounds()).isEmpty()
        val confirmed = confirm(1)
        expectThat(confirmed.answered()).containsExactly(1)
        expectThat(confirmed.rounds()).containsExactly(2, 2)
        expectThat(confirm(2).answered()).isEqualTo((2L..50L).toList())
    }

    /** Guards against stale reads, answered after a confirmation that was requested before the read arrived. */
    @Test
    fun `a read is not answered by an earlier round`() {
        read(1)
        read(2)
        expectThat(confirm(1).answered()).containsExactly(1)
        expectThat(confirm(1).answered()).isEmpty()
    }

    /** Guards against reads that stall forever because the messages of a round were lost. */
    @Test
    fun `a heartbeat repeats a lost round`() {
        read(1)
        val beat = replica.step(ReplicaEvent.Tick, 100.milliseconds)
        expectThat(beat.rounds()).hasSize(2).containsExactly(1, 1)
        expectThat(confirm(1).answered()).containsExactly(1)
    }
}
