@file:OptIn(ExperimentalSerializationApi::class)

package org.zinniahoist.consensus

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborLabel

/**
 * One entry of the replicated log: a command, a configuration, or neither (the first entry of a leader's term).
 *
 * @property timeMilliseconds wall time of the leader that created the entry, in milliseconds since the epoch; never
 * decreases along the log.
 */
@Serializable
public class LogEntry(
    @CborLabel(1) public val index: Long,
    @CborLabel(2) public val term: Long,
    @CborLabel(3) public val timeMilliseconds: Long,
    @CborLabel(4) @ByteString public val command: ByteArray? = null,
    @CborLabel(5) public val configuration: Configuration? = null,
) {
    /** Bytes of the command; 0 without one. */
    internal val commandBytes: Long get() = command?.size?.toLong() ?: 0

    override fun toString(): String = "$index@$term"
}

/** The term of a replica and its vote in that term. Both must be durable before the replica acts on them. */
@Serializable
public data class HardState(
    public val term: Long,
    public val vote: ReplicaIdentifier?,
)

/**
 * The state after the entry at [index], which replaces all entries up to there.
 *
 * @property term term of the entry at [index].
 * @property timeMilliseconds time stamp of the entry at [index].
 * @property configuration the configuration in force at [index].
 */
@Serializable
public class Snapshot(
    public val index: Long,
    public val term: Long,
    public val timeMilliseconds: Long,
    public val configuration: Configuration,
    @ByteString public val data: ByteArray,
)

/** Durable state with which a replica starts. */
public class RecoveredState(
    public val identifier: ReplicaIdentifier,
    public val hardState: HardState,
    public val snapshot: Snapshot?,
    public val entries: List<LogEntry>,
)
