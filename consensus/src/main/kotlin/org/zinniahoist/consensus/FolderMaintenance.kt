package org.zinniahoist.consensus

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import org.zinniahoist.model.InstanceName
import java.io.IOException

/**
 * Summary of the folder of a replica.
 *
 * @property identifier identifier of the replica; null if the folder is empty.
 * @property tornBytes bytes of a torn write at the end of the log, as a crash leaves it.
 * @property firstIndex index of the first entry after the snapshot.
 */
public data class FolderReport(
    public val identifier: ReplicaIdentifier?,
    public val hardState: HardState,
    public val snapshotIndex: Long,
    public val snapshotBytes: Long,
    public val firstIndex: Long,
    public val lastIndex: Long,
    public val segments: Int,
    public val tornBytes: Long,
    public val configuration: Configuration,
)

/** Operator functions for the folder of a stopped replica. */
public object FolderMaintenance {
    /** Verifies all checksums and the sequence of the entries. Read-only. */
    public fun inspect(files: FileStore): Either<StorageError, FolderReport> = FolderContent.read(files).map(::report)

    /**
     * Copies the verified folder [source] to the empty folder [target].
     *
     * The copy keeps the identity of the original. It may replace the original only if that is lost and has not run
     * since the copy was made; otherwise use [restore] to create a new group, or rejoin the group with an empty folder.
     */
    public fun copy(source: FileStore, target: FileStore): Either<StorageError, FolderReport> =
        inspect(source).flatMap { report ->
            onEmptyFolder(target) {
                val names = source.list().filter { !it.endsWith(TEMPORARY_SUFFIX) }
                // The identity is copied last: an interrupted copy has none and is rejected.
                for (name in names.sortedBy { it == FolderContent.IDENTITY }) target.replace(name, source.read(name))
                report
            }
        }

    /**
     * Initializes the empty folder [target] with the state of [backup], as the only member of a new group, with
     * [identifier] on [instance]. Other replicas join with empty folders.
     *
     * Uncommitted entries at the end of the log of the old group become committed.
     */
    public fun restore(
        backup: FileStore,
        target: FileStore,
        identifier: ReplicaIdentifier,
        instance: InstanceName,
    ): Either<StorageError, FolderReport> = FolderContent.read(backup).flatMap { content ->
        onEmptyFolder(target) {
            val state = content.recovered(identifier)
            val term = state.hardState.term + 1
            val last = state.entries.lastOrNull()
            val index = (last?.index ?: state.snapshot?.index ?: 0) + 1
            val time = last?.timeMilliseconds ?: state.snapshot?.timeMilliseconds ?: 0
            val members = Configuration(listOf(Member(ReplicaAddress(identifier, instance), voter = true)))
            val entries = state.entries + LogEntry(index, term, time, command = null, members)
            state.snapshot?.let {
                target.replace(FolderContent.SNAPSHOT, FrameCodec.encodeSnapshot(it))
            }
            val segment = entries.chunked(ENTRIES_PER_FRAME).map { FrameCodec.encode(Segment.serializer, it) }
            segment.forEach { target.append(Segment.name(1), it) }
            target.sync(Segment.name(1))
            GroupStorage.writeIdentity(target, identifier, HardState(term, null))
        }.flatMap { inspect(target) }
    }

    private fun <T> onEmptyFolder(target: FileStore, block: () -> T): Either<StorageError, T> = try {
        if (target.list().isEmpty()) block().right() else StorageError.NotEmpty(target.location).left()
    } catch (exception: IOException) {
        StorageError.Failed(target.location, exception).left()
    }

    private fun report(content: FolderContent): FolderReport {
        val entries = content.entriesAfterSnapshot
        val snapshotIndex = content.snapshot?.index ?: 0
        val configuration = entries.lastOrNull { it.configuration != null }?.configuration
        return FolderReport(
            identifier = content.identifier,
            hardState = content.hardState,
            snapshotIndex = snapshotIndex,
            snapshotBytes = content.snapshot?.data?.size?.toLong() ?: 0,
            firstIndex = snapshotIndex + 1,
            lastIndex = snapshotIndex + entries.size,
            segments = content.segments.size,
            tornBytes = content.tornBytes,
            configuration = configuration ?: content.snapshot?.configuration ?: Configuration.EMPTY,
        )
    }

    private const val ENTRIES_PER_FRAME = 1_000
}
