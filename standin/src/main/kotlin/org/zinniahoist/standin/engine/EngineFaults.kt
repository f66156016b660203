package org.zinniahoist.standin.engine

import kotlin.time.Duration

/** Faults of a [StandInEngine] that a test sets while it runs. Durations are on the engine's clock. */
public class EngineFaults {
    /** Time that each stream waits in the batch before its first token. */
    @Volatile
    public var pauseBeforeFirstToken: Duration = Duration.ZERO

    /** Time after a start or restart in which the engine answers 503 to everything. */
    @Volatile
    public var startDelay: Duration = Duration.ZERO

    /** How the next load order fails, or null if it succeeds. Cleared by the order that fails. */
    @Volatile
    public var nextSwapFailure: SwapFailure? = null
}

/** The version that an engine reports after a weight swap that failed partway. */
public enum class SwapFailure {
    /** The engine keeps and reports the old version. */
    OLD_VERSION,

    /** The engine reports its version as null. */
    UNKNOWN_VERSION,
}
