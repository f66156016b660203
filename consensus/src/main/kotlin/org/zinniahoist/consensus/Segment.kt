package org.zinniahoist.consensus

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.builtins.ListSerializer

/**
 * Decodes the segments of a log, which are numbered in the order of their creation.
 *
 * The log is append-only: a frame whose first index is at most the preceding last index replaces the entries from its
 * first index on. A crash during the replacement of a conflicting tail therefore loses no synced entries.
 */
internal object Segment {
    private const val PREFIX = "log-"
    private const val SUFFIX = ".segment"
    private const val NUMBER_DIGITS = 12
    val serializer = ListSerializer(LogEntry.serializer())

    fun name(number: Long): String = PREFIX + number.toString().padStart(NUMBER_DIGITS, '0') + SUFFIX

    fun names(files: List<String>): List<String> = files.filter {
        it.startsWith(PREFIX) && it.endsWith(SUFFIX)
    }.sorted()

    fun number(name: String): Long = name.removePrefix(PREFIX).removeSuffix(SUFFIX).toLong()

    /** Frames of one segment, and the size of its valid part in bytes. */
    class Content(
        val name: String,
        val frames: List<Frame>,
        val validBytes: Long,
        val totalBytes: Long,
    ) {
        val highestIndex: Long get() = frames.maxOfOrNull { it.entries.last().index } ?: 0
    }

    /** Entries written with one sync, at byte [offset] of the segment. */
    class Frame(
        val offset: Long,
        val entries: List<LogEntry>,
    )

    /** Decodes a segment. Only the last segment ([isLast]) may end in a damaged frame. */
    fun decode(name: String, bytes: ByteArray, isLast: Boolean): Either<StorageError.Corrupt, Content> {
        val frames = ArrayList<Frame>()
        var offset = 0
        while (offset < bytes.size) {
            val length = FrameCodec.frameLength(bytes, offset)
            if (length == null) {
                val torn = isLast && !FrameCodec.hasFrameAfter(bytes, offset)
                if (!torn) return corrupt(name, offset, "damaged frame")
                break
            }
            val entries =
                Either
                    .catch { FrameCodec.decode(serializer, bytes, offset, length) }
                    .fold({ return corrupt(name, offset, "undecodable frame: $it") }, { it })
            if (entries.isEmpty()) return corrupt(name, offset, "frame without entries")
            frames += Frame(offset.toLong(), entries)
            offset += length
        }
        return Content(name, frames, offset.toLong(), bytes.size.toLong()).right()
    }

    private fun corrupt(name: String, offset: Int, reason: String) =
        StorageError.Corrupt(name, offset.toLong(), reason).left()

    /** Joins the frames of consecutive segments to one log. Fails if entries after [snapshotIndex] are missing. */
    fun join(segments: List<Content>, snapshotIndex: Long): Either<StorageError.Corrupt, List<LogEntry>> {
        val log = ArrayList<LogEntry>()
        for (segment in segments) {
            for (frame in segment.frames) {
                val reason = frame.joinTo(log, snapshotIndex) ?: continue
                return corrupt(segment.name, frame.offset.toInt(), reason)
            }
        }
        return log.right()
    }

    /** Joins this frame to [log]. Returns null, or the reason for which it can't follow. */
    private fun Frame.joinTo(log: ArrayList<LogEntry>, snapshotIndex: Long): String? {
        val first = entries.first().index
        val misplaced = entries.withIndex().find { (position, entry) -> entry.index != first + position }
        if (misplaced != null) return "entry ${misplaced.value.index} is out of sequence"
        val last = log.lastOrNull()?.index
        if (last == null || first > last + 1) {
            if (first > snapshotIndex + 1) return "entries before $first are missing"
            log.clear()
        } else {
            log.subList(maxOf(first - log.first().index, 0).toInt(), log.size).clear()
        }
        log += entries
        return null
    }
}
