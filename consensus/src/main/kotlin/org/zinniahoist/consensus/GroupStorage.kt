package org.zinniahoist.consensus

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import java.io.IOException

/**
 * The durable state of one replica. After the first failure of the disk nothing is written any more, because what the
 * operating system kept of the failed write is unknown.
 */
public class GroupStorage private constructor(
    private val files: FileStore,
    private val segmentBytes: Long,
    content: FolderContent,
) : AutoCloseable {
    private val closedSegments = ArrayDeque<OpenSegment>()
    private var current: OpenSegment? = null
    private var nextSegmentNumber = 1L
    private var snapshotIndex = content.snapshot?.index ?: 0
    private var snapshotTerm = content.snapshot?.term ?: 0
    private val terms = StoredTerms(snapshotIndex, snapshotTerm, content.entriesAfterSnapshot)
    private var failure: StorageError.Failed? = null

    init {
        content.segments.forEach { closedSegments += OpenSegment(it.name, it.validBytes, it.highestIndex) }
        nextSegmentNumber = (closedSegments.lastOrNull()?.let { Segment.number(it.name) } ?: 0) + 1
        current = closedSegments.removeLastOrNull()
    }

    /** Writes and syncs [changes]. When this returns a right, all of them are durable. */
    public fun write(changes: List<ReplicaAction.Persist>): Either<StorageError, Unit> = guarded {
        changes.lastOrNull { it.hardState != null }?.hardState?.let { hardState ->
            writeVote(files, hardState)
        }
        var entries = ArrayList<LogEntry>()
        for (change in changes) {
            val first = change.truncateFrom ?: change.entries.firstOrNull()?.index
            if (first != null) entries.removeIf { it.index >= first }
            if (change.snapshot != null) {
                append(entries)
                entries = ArrayList()
                replaceSnapshot(change.snapshot)
            }
            entries += change.entries
        }
        append(entries)
    }

    /** Makes [snapshot] of the own state machine durable and deletes the segments that it covers. */
    public fun saveSnapshot(snapshot: Snapshot): Either<StorageError, Unit> = guarded { replaceSnapshot(snapshot) }

    override fun close() {
        files.close()
    }

    private fun guarded(block: () -> Unit): Either<StorageError, Unit> {
        failure?.let { return it.left() }
        return try {
            block()
            Unit.right()
        } catch (exception: IOException) {
            StorageError.Failed(files.location, exception).also { failure = it }.left()
        }
    }

    private fun append(entries: List<LogEntry>) {
        var start = 0
        while (start < entries.size) {
            var end = start
            var bytes = 0L
            while (end < entries.size && (end == start || bytes < MAXIMUM_FRAME_BYTES)) {
                bytes += entries[end++].command?.size ?: 0
            }
            appendFrame(entries.subList(start, end))
            start = end
        }
    }

    private fun appendFrame(entries: List<LogEntry>) {
        val bytes = FrameCodec.encode(Segment.serializer, entries)
        val full = current?.takeIf { it.bytes >= segmentBytes }
        if (full != null) {
            closedSegments += full
            current = null
        }
        val existing = current
        val segment = existing ?: OpenSegment(Segment.name(nextSegmentNumber++), 0, 0).also { current = it }
        files.append(segment.name, bytes)
        files.sync(segment.name)
        if (existing == null) files.syncFolder()
        segment.bytes += bytes.size
        segment.highestIndex = maxOf(segment.highestIndex, entries.last().index)
        terms.append(entries)
    }

    private fun replaceSnapshot(snapshot: Snapshot) {
        if (snapshot.index <= snapshotIndex) return
        files.replace(FolderContent.SNAPSHOT, FrameCodec.encode(Snapshot.serializer(), snapshot))
        snapshotIndex = snapshot.index
        snapshotTerm = snapshot.term
        var deleted = false
        if (!terms.advance(snapshot.index, snapshot.term)) deleted = deleteAllSegments()
        while (closedSegments.isNotEmpty() && closedSegments.first().highestIndex <= snapshot.index) {
            files.delete(closedSegments.removeFirst().name)
            deleted = true
        }
        // Segments that reappear after a crash would be joined with entries written later.
        if (deleted) files.syncFolder()
    }

    /** Deletes the newest first, so that a crash leaves a log that ends before the snapshot. */
    private fun deleteAllSegments(): Boolean {
        val all = closedSegments + listOfNotNull(current)
        all.asReversed().forEach { files.delete(it.name) }
        closedSegments.clear()
        current = null
        return all.isNotEmpty()
    }

    private fun repair(content: FolderContent, isAfterFailure: Boolean) {
        deleteTemporaryFiles(files)
        content.segments.lastOrNull()?.let { if (isAfterFailure) rewrite(it) else makeDurable(it) }
        if (isAfterFailure && content.identifier != null) writeVote(files, content.hardState)
        if (content.entries.isNotEmpty() && content.snapshot != null && content.entriesAfterSnapshot.isEmpty()) {
            deleteAllSegments()
        }
        files.syncFolder()
    }

    /** A process that was killed may have left an append without its sync, which is acknowledged from now on. */
    private fun makeDurable(last: Segment.Content) {
        if (last.totalBytes > last.validBytes) files.truncate(last.name, last.validBytes)
        files.sync(last.name)
    }

    /** The system may have forgotten the bytes of a failed sync, and another sync would not write them. */
    private fun rewrite(last: Segment.Content) {
        files.replace(last.name, files.read(last.name).copyOf(last.validBytes.toInt()))
    }

    private class OpenSegment(
        val name: String,
        var bytes: Long,
        var highestIndex: Long,
    )

    /** An open folder and what it held. */
    public class OpenedStorage(
        public val storage: GroupStorage,
        public val recovered: RecoveredState,
    )

    public companion object {
        /** Default size in bytes at which a new segment is started. */
        public const val DEFAULT_SEGMENT_BYTES: Long = 64L shl 20

        /** Frames are encoded in memory, and a length field has 4 bytes. */
        private const val MAXIMUM_FRAME_BYTES = 16L shl 20
        private const val PROBE = "probe$TEMPORARY_SUFFIX"

        /** Room for some results. */
        private const val PROBE_BYTES = 64 shl 10

        /**
         * Opens the folder [files]. A torn end of the log is cut off, and all that was read is durable. An empty folder
         * gets [freshIdentifier], and its replica has no vote until the leader of a group has added and promoted it.
         *
         * @param isAfterFailure true if a write has failed since the process started. The folder is then read only if
         * it takes writes, and what may not be durable is written anew.
         */
        public fun open(
            files: FileStore,
            freshIdentifier: ReplicaIdentifier,
            segmentBytes: Long = DEFAULT_SEGMENT_BYTES,
            isAfterFailure: Boolean = false,
        ): Either<StorageError, OpenedStorage> {
            if (isAfterFailure) probe(files).onLeft { return it.left() }
            return FolderContent.read(files).flatMap { open(files, it, freshIdentifier, segmentBytes, isAfterFailure) }
        }

        private fun open(
            files: FileStore,
            content: FolderContent,
            freshIdentifier: ReplicaIdentifier,
            segmentBytes: Long,
            isAfterFailure: Boolean,
        ): Either<StorageError, OpenedStorage> = try {
            val identifier = content.identifier ?: freshIdentifier
            val storage = GroupStorage(files, segmentBytes, content)
            storage.repair(content, isAfterFailure)
            if (content.identifier == null) writeIdentity(files, identifier, content.hardState)
            OpenedStorage(storage, content.recovered(identifier)).right()
        } catch (exception: IOException) {
            StorageError.Failed(files.location, exception).left()
        }

        /**
         * Prepares the empty folder [files] for a replica of a new group whose initial members are [configuration].
         * All initial replicas must be given the same [configuration] and [timeMilliseconds].
         */
        public fun bootstrap(
            files: FileStore,
            identifier: ReplicaIdentifier,
            configuration: Configuration,
            timeMilliseconds: Long,
        ): Either<StorageError, Unit> = try {
            if (files.list().isNotEmpty()) {
                StorageError.NotEmpty(files.location).left()
            } else {
                val first = LogEntry(1, 1, timeMilliseconds, command = null, configuration)
                files.append(Segment.name(1), FrameCodec.encode(Segment.serializer, listOf(first)))
                files.sync(Segment.name(1))
                writeIdentity(files, identifier, HardState(1, null)).right()
            }
        } catch (exception: IOException) {
            StorageError.Failed(files.location, exception).left()
        }

        /**
         * Writes a file and deletes it, which costs less than to read the folder before a write that fails. What failed
         * writes left behind goes first, since it may be all that keeps the disk full.
         */
        private fun probe(files: FileStore): Either<StorageError, Unit> = try {
            deleteTemporaryFiles(files)
            files.append(PROBE, ByteArray(PROBE_BYTES))
            files.sync(PROBE)
            files.delete(PROBE)
            Unit.right()
        } catch (exception: IOException) {
            StorageError.Failed(files.location, exception).left()
        }

        private fun deleteTemporaryFiles(files: FileStore) =
            files.list().filter { it.endsWith(TEMPORARY_SUFFIX) }.forEach { files.delete(it) }

        private fun writeVote(files: FileStore, hardState: HardState) =
            files.replace(FolderContent.VOTE, FrameCodec.encode(HardState.serializer(), hardState))

        /** The identity is written last: a folder without it has never acknowledged anything. */
        internal fun writeIdentity(files: FileStore, identifier: ReplicaIdentifier, hardState: HardState) {
            writeVote(files, hardState)
            val identity = FrameCodec.encode(StoredIdentity.serializer(), StoredIdentity(identifier))
            files.replace(FolderContent.IDENTITY, identity)
        }
    }
}
