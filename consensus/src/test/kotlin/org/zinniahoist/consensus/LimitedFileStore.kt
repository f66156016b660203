package org.zinniahoist.consensus

/** In-memory disk of [capacity] bytes. Deleting files frees space. The last append that fails may be torn. */
internal class LimitedFileStore(private val files: MemoryFileStore = MemoryFileStore()) : FileStore by files {
    /** Capacity in bytes. May be changed by any thread. */
    @Volatile
    var capacity = Long.MAX_VALUE

    /** Makes appends fail after half of their bytes while true. May be changed by any thread. */
    @Volatile
    var tearsAppends = false

    /** Total size of all files in bytes. */
    val used: Long get() = files.list().sumOf { files.size(it) }

    override fun append(name: String, bytes: ByteArray) {
        files.freeBytes = if (tearsAppends) bytes.size / 2L else (capacity - used).coerceAtLeast(0)
        files.append(name, bytes)
    }
}
