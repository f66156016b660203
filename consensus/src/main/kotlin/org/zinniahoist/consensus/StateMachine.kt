package org.zinniahoist.consensus

/**
 * Deterministic state machine replicated by a consensus group.
 *
 * All functions are called on the thread of the replica. They must not throw, read a clock, use random numbers or
 * perform I/O: the same commands with the same indexes and times must give the same state and answers on each replica.
 */
public interface StateMachine {
    /**
     * Applies a committed command and returns the answer for its proposer.
     *
     * @param index position in the log; strictly increasing, possibly with gaps.
     * @param timeMilliseconds wall time in milliseconds since the epoch, assigned by the leader that accepted the
     * command; never decreasing.
     */
    public fun apply(index: Long, timeMilliseconds: Long, command: ByteArray): ByteArray

    /**
     * Answers a read without changing the state.
     *
     * @param timeMilliseconds timestamp of the last applied entry, so that the answer depends only on the log.
     */
    public fun query(timeMilliseconds: Long, query: ByteArray): ByteArray

    /** Serializes the whole state in the format that [restore] reads. */
    public fun snapshot(): ByteArray

    /** Replaces the whole state by the one in [snapshot]. */
    public fun restore(snapshot: ByteArray)
}
