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

    /** Guards against jobs of an earlier term that count as begun, so that their lost results are never made again. */
    @Test
    fun `releases the work of a term when the next one follows unseen`() {
        lead(term = 1)
        expectThat(leadership.onStatus(isLeader = true, term = 3))
            .containsExactly(LeadershipAction.Deactivate, LeadershipAction.ObtainFence(3))
    }

    /** Guards against a replica that goes on running items after it has lost its leadership. */
    @Test
    fun `releases the work once when the fence of the next term is refused`() {
        lead(term = 1)
        val actions = leadership.onStatus(isLeader = true, term = 3) +
            leadership.onFence(3, fence = null) +
            leadership.onStatus(isLeader = false, term = 4)
        expectThat(actions).containsExactly(LeadershipAction.Deactivate, LeadershipAction.ObtainFence(3))
    }

    /** Guards against a leader that never begins its work because its first fence was refused. */
    @Test
    fun `draws the fence again after a refusal`() {
        leadership.onStatus(isLeader = true, term = 1)
        expectThat(leadership.onFence(1, fence = null)).isEmpty()
        expectThat(leadership.onStatus(isLeader = true, term = 1)).containsExactly(LeadershipAction.ObtainFence(1))
        expectThat(leadership.onFence(1, FencingToken(9)))
            .containsExactly(LeadershipAction.Activate(1, FencingToken(9)))
    }

    /** Guards against items that run before the leader has applied what was acknowledged before its term. */
    @Test
    fun `is not active before the fence is drawn`() {
        leadership.onStatus(isLeader = true, term = 1)
        expectThat(leadership.isActive).isFalse()
    }

    /** Guards against a late fence of an earlier term that starts the work of a replica that follows. */
    @Test
    fun `ignores the fence of a term that is over`() {
        leadership.onStatus(isLeader = true, term = 1)
        leadership.onStatus(isLeader = false, term = 2)
        expectThat(leadership.onFence(1, FencingToken(1))).isEmpty()
    }
}
