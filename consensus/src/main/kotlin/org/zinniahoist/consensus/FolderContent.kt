package org.zinniahoist.consensus

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import java.io.IOException

/** Decoded content of the folder of one replica. Reading is free of side effects. */
internal class FolderContent(
    val identifier: ReplicaIdentifier?,
    val hardState: HardState,
    val snapshot: Snapshot?,
    val entries: List<LogEntry>,
    val segments: List<Segment.Content>,
) {
    /** Entries after the snapshot; empty if the stored log conflicts with the last entry of the snapshot. */
    val entriesAfterSnapshot: List<LogEntry>
        get() {
            if (snapshot == null || snapshot.index == 0L) return entries
            val first = entries.firstOrNull()?.index ?: return emptyList()
            if (first == snapshot.index + 1) return entries
            val position = snapshot.index - first
            val contained = entries.getOrNull(position.toInt())?.term == snapshot.term
            return if (contained) entries.subList(position.toInt() + 1, entries.size) else emptyList()
        }

    fun recovered(identifier: ReplicaIdentifier): RecoveredState =
        RecoveredState(identifier, hardState, snapshot, entriesAfterSnapshot)

    val tornBytes: Long get() = segments.lastOrNull()?.let { it.totalBytes - it.validBytes } ?: 0

    companion object {
        const val IDENTITY = "identity"
        const val VOTE = "vote"
        const val SNAPSHOT = "snapshot"

        fun read(files: FileStore): Either<StorageError, FolderContent> = try {
            readAll(files)
        } catch (failure: IOException) {
            StorageError.Failed(files.location, failure).left()
        }

        /**
         * Returns whether [files] hold what a bootstrap leaves that was cut off, or nothing: at most the first entry
         * and the first term, without a vote. The identity is written last, and a replica promises nothing before it.
         */
        fun isUnfinishedBootstrap(files: FileStore): Either<StorageError, Boolean> = either {
            val names = files.list()
            val segments = Segment.names(names)
            if (IDENTITY in names || SNAPSHOT in names || segments.any { it != Segment.name(1) }) return@either false
            val vote = readSingle(files, names, VOTE, HardState.serializer()).bind()
            if (vote != null && (vote.vote != null || vote.term > 1)) return@either false
            val entries = Segment.join(readSegments(files, names).bind(), 0).bind()
            entries.isEmpty() || entries.singleOrNull()?.let { it.index == 1L && it.configuration != null } == true
        }

        private fun readAll(files: FileStore): Either<StorageError, FolderContent> = either {
            val names = files.list()
            val identity = readSingle(files, names, IDENTITY, StoredIdentity.serializer()).bind()
            val vote = readSingle(files, names, VOTE, HardState.serializer()).bind()
            val snapshot = readSingle(files, names, SNAPSHOT, Snapshot.serializer()).bind()
            val segments = readSegments(files, names).bind()
            val entries = Segment.join(segments, snapshot?.index ?: 0).bind()
            if (identity == null && (snapshot != null || segments.isNotEmpty())) raise(missing(IDENTITY))
            if (identity != null && vote == null) raise(missing(VOTE))
            val hardState = vote ?: HardState(0, null)
            val lastTerm = maxOf(entries.lastOrNull()?.term ?: 0, snapshot?.term ?: 0)
            if (lastTerm > hardState.term) {
                raise(StorageError.Corrupt(VOTE, 0, "term ${hardState.term} is older than that of the log"))
            }
            FolderContent(identity?.identifier, hardState, snapshot, entries, segments)
        }

        private fun missing(name: String) = StorageError.Corrupt(name, 0, "the file is missing")

        private fun <T> readSingle(
            files: FileStore,
            names: List<String>,
            name: String,
            serializer: KSerializer<T>,
        ): Either<StorageError, T?> {
            if (name !in names) return null.right()
            val bytes = files.read(name)
            val length = FrameCodec.frameLength(bytes, 0)
            if (length != bytes.size) return StorageError.Corrupt(name, 0, "damaged frame").left()
            return Either
                .catch { FrameCodec.decode(serializer, bytes, 0, length) }
                .mapLeft { StorageError.Corrupt(name, 0, "undecodable frame: $it") }
        }

        private fun readSegments(files: FileStore, names: List<String>): Either<StorageError, List<Segment.Content>> {
            val segments = Segment.names(names)
            return segments.fold<_, Either<StorageError, List<Segment.Content>>>(emptyList<Segment.Content>().right()) {
                    read,
                    name,
                ->
                read.flatMap { before ->
                    Segment.decode(name, files.read(name), name == segments.last()).map { before + it }
                }
            }
        }
    }
}

@Serializable
internal class StoredIdentity(val identifier: ReplicaIdentifier)
