package org.zinniahoist.consensus

/**
 * Deterministic state that a consensus group replicates.
 *
 * All functions are called from one thread, the thread of the replica. They must not throw, read a clock, draw random
 * numbers or do I/O: the same commands with the same indexes and times give the same state and answers on each replica.
 */
public interface StateMachine {
    /**
     * Applies a committed command and returns the answer for its proposer.
     *
     * @param index position in the log; larger than that of each command applied before. Gaps are possible.
     * @param timeMilliseconds wall time in milliseconds since the epoch, stamped by the leader that accepted the
     * command; never smaller than that of a command applied before.
     */
    public fun apply(index: Long, timeMilliseconds: Long, command: ByteArray): ByteArray

    /**
     * Answers a read without changing the state.
     *
     * @param timeMilliseconds time stamp of the last entry that the replica applied, so that the answer depends on the
     * log only.
     */
    public fun query(timeMilliseconds: Long, query: ByteArray): ByteArray

    /** Returns the whole state, in a form that [restore] accepts. */
    public fun snapshot(): ByteArray

    /** Replaces the whole state by that of [snapshot]. */
    public fun restore(snapshot: ByteArray)
}
