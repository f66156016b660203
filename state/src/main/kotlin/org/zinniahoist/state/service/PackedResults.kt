@file:OptIn(ExperimentalSerializationApi::class)

package org.zinniahoist.state.service

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.zinniahoist.state.StateCodec

/** Results in the form of the log: the encoded command that recorded them and their positions in it. */
@Serializable
public class PackedResults private constructor(
    @ByteString private val command: ByteArray,
    private val positions: List<Int>,
) {
    /** Decodes the results with their outputs, in order. */
    public fun whole(): List<ItemResult> {
        val all = (StateCodec.decode<ServiceCommand>(command) as ServiceCommand.RecordResults).results
        return positions.map(all::get)
    }

    public companion object {
        /** Packs a prefix of [results]: the first command, and more while the total is at most [maximumBytes] bytes. */
        public fun of(results: List<RecordedResult>, maximumBytes: Int): List<PackedResults> = buildList {
            var bytes = 0
            var start = 0
            while (start < results.size) {
                val command = results[start].command
                bytes += command.size
                if (start > 0 && bytes > maximumBytes) break
                var end = start
                while (end < results.size && results[end].command === command) end++
                add(PackedResults(command, results.subList(start, end).map { it.position }))
                start = end
            }
        }
    }
}
