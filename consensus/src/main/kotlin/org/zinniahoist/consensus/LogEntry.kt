@file:OptIn(ExperimentalSerializationApi::class)

package org.zinniahoist.consensus

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborLabel

/**
 * Entry of the replicated log: a command, a configuration, or neither (the first entry of a leader's term).
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
    /** Size of the command in bytes; 0 without a command. */
    internal val commandBytes: Long get() = command?.size?.toLong() ?: 0

    override fun toString(): String = "$index@$term"
}

/** Current term of a replica and its vote in that term. Both must be durable before the replica acts on them. */
@Serializable
public data class HardState(
    public val term: Long,
    public val vote: ReplicaIdentifier?,
)

/**
 * State of the state machine after the entry at [index]. Replaces all entries up to and including that one.
 *
 * @property term term of the entry at [index].
 * @property timeMilliseconds timestamp of the entry at [index], in milliseconds since the epoch.
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

/** Durable state from which a replica starts. */
public class RecoveredState(
    public val identifier: ReplicaIdentifier,
    public val hardState: HardState,
    public val snapshot: Snapshot?,
    public val entries: List<LogEntry>,
)
