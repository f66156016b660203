@file:OptIn(ExperimentalSerializationApi::class)

package org.zinniahoist.state.service

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.zinniahoist.state.StateCodec

/** Results as the log holds them: the bytes of the command that listed them, and their positions in it. */
@Serializable
public class PackedResults private constructor(
    @ByteString private val command: ByteArray,
    private val positions: List<Int>,
) {
    /** Reads the whole results, in order. */
    public fun whole(): List<ItemResult> {
        val all = (StateCodec.decode<ServiceCommand>(command) as ServiceCommand.RecordResults).results
        return positions.map(all::get)
    }

    public companion object {
        /** Returns the first of the [results], one command at least and others while they take up to [mostBytes]. */
        public fun of(results: List<ListedResult>, mostBytes: Int): List<PackedResults> = buildList {
            var bytes = 0
            var start = 0
            while (start < results.size) {
                val command = results[start].command
                bytes += command.size
                if (start > 0 && bytes > mostBytes) break
                var end = start
                while (end < results.size && results[end].command === command) end++
                add(PackedResults(command, results.subList(start, end).map { it.position }))
                start = end
            }
        }
    }
}
