package org.zinniahoist.consensus

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import java.io.IOException

/**
 * Durable storage of one replica: snapshot, log segments, term and vote.
 *
 * After the first I/O error every further write fails, because it is unknown which part of the failed write the
 * operating system retains.
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

    /** Writes and syncs [changes]. All of them are durable when this returns without an error. */
    public fun write(changes: List<ReplicaAction.Persist>): Either<StorageError, Unit> = unlessFailed {
        changes.lastOrNull { it.hardState != null }?.hardState?.let { hardState ->
            writeHardState(files, hardState)
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

    /** Saves a [snapshot] of the local state machine durably and deletes the segments that it covers. */
    public fun saveSnapshot(snapshot: Snapshot): Either<StorageError, Unit> = unlessFailed { replaceSnapshot(snapshot) }

    override fun close() {
        files.close()
    }

    private fun unlessFailed(block: () -> Unit): Either<StorageError, Unit> {
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
        files.replace(FolderContent.SNAPSHOT, FrameCodec.encodeSnapshot(snapshot))
        snapshotIndex = snapshot.index
        snapshotTerm = snapshot.term
        var deleted = false
        if (!terms.advance(snapshot.index, snapshot.term)) deleted = deleteAllSegments()
        while (closedSegments.isNotEmpty() && closedSegments.first().highestIndex <= snapshot.index) {
            files.delete(closedSegments.removeFirst().name)
            deleted = true
        }
        // Without this sync, deleted segments could reappear after a crash and be joined with entries written later.
        if (deleted) files.syncFolder()
    }

    /** Deletes all segments, newest first, so that a crash in between leaves a log that ends before the snapshot. */
    private fun deleteAllSegments(): Boolean {
        val all = closedSegments + listOfNotNull(current)
        all.asReversed().forEach { files.delete(it.name) }
        closedSegments.clear()
        current = null
        return all.isNotEmpty()
    }

    private fun repair(content: FolderContent, isAfterFailure: Boolean) {
        deleteTemporaryFiles(files)
        content.segments.lastOrNull()?.let { if (isAfterFailure) rewrite(it) else truncateAndSync(it) }
        if (isAfterFailure && content.identifier != null) writeHardState(files, content.hardState)
        if (content.entries.isNotEmpty() && content.snapshot != null && content.entriesAfterSnapshot.isEmpty()) {
            deleteAllSegments()
        }
        files.syncFolder()
    }

    /**
     * Truncates the last segment to its valid frames and syncs it. A killed process may have left an unsynced append,
     * whose entries may be acknowledged from now on.
     */
    private fun truncateAndSync(last: Segment.Content) {
        if (last.totalBytes > last.validBytes) files.truncate(last.name, last.validBytes)
        files.sync(last.name)
    }

    /**
     * Rewrites the valid frames of the last segment. After a failed sync, the operating system may have discarded the
     * unwritten bytes, and another sync would succeed without writing them.
     */
    private fun rewrite(last: Segment.Content) {
        files.replace(last.name, files.read(last.name).copyOf(last.validBytes.toInt()))
    }

    private class OpenSegment(
        val name: String,
        var bytes: Long,
        var highestIndex: Long,
    )

    /** An opened storage and the state recovered from it. */
    public class OpenedStorage(
        public val storage: GroupStorage,
        public val recovered: RecoveredState,
    )

    public companion object {
        /** Default size in bytes from which on a segment is closed and a new one is started. */
        public const val DEFAULT_SEGMENT_BYTES: Long = 64L shl 20

        /** Limits the commands in one frame: frames are encoded in memory and their length field has 4 bytes. */
        private const val MAXIMUM_FRAME_BYTES = 16L shl 20
        private const val PROBE = "probe$TEMPORARY_SUFFIX"

        /** Size of the probe file: several commands with a result. */
        private const val PROBE_BYTES = 64 shl 10

        /**
         * Opens the folder [files]. Truncates a torn write at the end of the log and makes the rest durable.
         * The replica of an empty folder gets [freshIdentifier]; it has no vote until a leader adds and promotes it.
         *
         * @param isAfterFailure true if a write has failed since the process started. The folder is then read only if
         * it accepts writes, and files that may not be durable are rewritten.
         */
        public fun open(
            files: FileStore,
            freshIdentifier: ReplicaIdentifier,
            segmentBytes: Long = DEFAULT_SEGMENT_BYTES,
            isAfterFailure: Boolean = false,
        ): Either<StorageError, OpenedStorage> {
            if (isAfterFailure) probe(files).onLeft { return it.left() }
            discardUnfinishedBootstrap(files).onLeft { return it.left() }
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
         * Initializes the empty folder [files] for a replica of a new group with the initial members [configuration].
         * All initial replicas must be initialized with the same [configuration] and [timeMilliseconds].
         */
        public fun bootstrap(
            files: FileStore,
            identifier: ReplicaIdentifier,
            configuration: Configuration,
            timeMilliseconds: Long,
        ): Either<StorageError, Unit> = try {
            discardUnfinishedBootstrap(files).onLeft { return it.left() }
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
         * Empties the folder [files] if it holds no more than the remains of a [bootstrap] that was cut off. Nothing
         * has been promised from such a folder, so it may be initialized again or join the group like an empty one.
         */
        public fun discardUnfinishedBootstrap(files: FileStore): Either<StorageError, Unit> = try {
            FolderContent.isUnfinishedBootstrap(files).map { isUnfinished ->
                val remains = if (isUnfinished) files.list() else emptyList()
                remains.forEach(files::delete)
                if (remains.isNotEmpty()) files.syncFolder()
            }
        } catch (exception: IOException) {
            StorageError.Failed(files.location, exception).left()
        }

        /**
         * Checks that the folder accepts writes, by writing and deleting a file. This is cheaper than reading the whole
         * folder before a write that fails. Deletes the remains of failed writes first, because they may be what keeps
         * the disk full.
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

        private fun writeHardState(files: FileStore, hardState: HardState) =
            files.replace(FolderContent.VOTE, FrameCodec.encode(HardState.serializer(), hardState))

        /** Writes the identity after the vote: a replica acknowledges nothing before its folder has an identity. */
        internal fun writeIdentity(files: FileStore, identifier: ReplicaIdentifier, hardState: HardState) {
            writeHardState(files, hardState)
            val identity = FrameCodec.encode(StoredIdentity.serializer(), StoredIdentity(identifier))
            files.replace(FolderContent.IDENTITY, identity)
        }
    }
}
