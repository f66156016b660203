package org.zinniahoist.standin.engine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Behaviour of a [StandInEngine]. Durations are on the engine's clock.
 *
 * A decode step takes [stepTime], plus [stepTimePerStream] for each running stream, plus [prefillTimePerToken] for each
 * prompt token of newly admitted streams that the prefix cache does not hold.
 */
public data class EngineConfiguration(
    public val name: String = "engine",
    public val models: Map<String, Long> = mapOf("suggestion" to 1L),
    public val role: String = "serve",
    public val clockRate: Double = 1.0,
    public val maximumBatch: Int = 32,
    public val stepTime: Duration = 20.milliseconds,
    public val stepTimePerStream: Duration = 500.microseconds,
    public val prefillTimePerToken: Duration = 100.microseconds,
    public val tokensPerChunk: Int = 1,
    public val defaultMaximumTokens: Int = 1_024,
    public val lengths: LengthDistribution = LengthDistribution(),
    public val cacheTokens: Int = 16_384,
    public val loadLag: Duration = 1.seconds,
    public val cacheEventLag: Duration = 1.seconds,
    public val cacheEventLossEvery: Int = 10,
    public val swapTime: Duration = 2.seconds,
    public val checksFencingTokens: Boolean = true,
    public val poisonMarker: String = "<<poison>>",
)
