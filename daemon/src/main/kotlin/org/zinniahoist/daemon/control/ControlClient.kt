package org.zinniahoist.daemon.control

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Access to the consensus groups from any daemon. */
public interface ControlClient {
    /** Applies [command] in [group] and returns the state machine's answer. */
    public suspend fun command(group: String, command: ByteArray, timeout: Duration = DEFAULT_TIMEOUT): ControlResult

    /** Answers [query] in [group] with a linearizable read. */
    public suspend fun query(group: String, query: ByteArray, timeout: Duration = DEFAULT_TIMEOUT): ControlResult

    public companion object {
        /** 5 s cover an election, which takes under 3 s. */
        public val DEFAULT_TIMEOUT: Duration = 5.seconds
    }
}

/** How a call of a consensus group ended. */
public sealed interface ControlResult {
    /** The state machine answered with [content]. */
    public class Answered(public val content: ByteArray) : ControlResult

    /** The call had no effect and will have none. */
    public data class NotApplied(public val reason: String) : ControlResult

    /** The call may have had an effect or may still get one. */
    public data class OutcomeUnknown(public val reason: String) : ControlResult
}
