package org.zinniahoist.gateway.core

import org.junit.jupiter.api.Test
import org.zinniahoist.model.FencingToken
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isFalse

internal class LeadershipTest {
    private val leadership = Leadership()

    private fun lead(term: Long) {
        leadership.onStatus(isLeader = true, term = term)
        leadership.onFence(term, FencingToken(term))
    }

    /** Guards against jobs of an earlier term that count as dispatched, so that lost results are never regenerated. */
    @Test
    fun `deactivates when the replica wins the next term between two status updates`() {
        lead(term = 1)
        expectThat(leadership.onStatus(isLeader = true, term = 3))
            .containsExactly(LeadershipAction.Deactivate, LeadershipAction.ObtainFence(3))
    }

    /** Guards against a replica that continues to run items after it has lost its leadership. */
    @Test
    fun `deactivates once when the fence of the next term is refused`() {
        lead(term = 1)
        val actions = leadership.onStatus(isLeader = true, term = 3) +
            leadership.onFence(3, fence = null) +
            leadership.onStatus(isLeader = false, term = 4)
        expectThat(actions).containsExactly(LeadershipAction.Deactivate, LeadershipAction.ObtainFence(3))
    }

    /** Guards against a leader that never becomes active because its first fencing token was refused. */
    @Test
    fun `requests the fence again after a refusal`() {
        leadership.onStatus(isLeader = true, term = 1)
        expectThat(leadership.onFence(1, fence = null)).isEmpty()
        expectThat(leadership.onStatus(isLeader = true, term = 1)).containsExactly(LeadershipAction.ObtainFence(1))
        expectThat(leadership.onFence(1, FencingToken(9)))
            .containsExactly(LeadershipAction.Activate(1, FencingToken(9)))
    }

    /** Guards against items that run before the leader has applied all commands acknowledged in earlier terms. */
    @Test
    fun `is not active before the fence is obtained`() {
        leadership.onStatus(isLeader = true, term = 1)
        expectThat(leadership.isActive).isFalse()
    }

    /** Guards against a follower that becomes active because the fencing token of an earlier term arrives late. */
    @Test
    fun `ignores the fence of an earlier term`() {
        leadership.onStatus(isLeader = true, term = 1)
        leadership.onStatus(isLeader = false, term = 2)
        expectThat(leadership.onFence(1, FencingToken(1))).isEmpty()
    }
}
