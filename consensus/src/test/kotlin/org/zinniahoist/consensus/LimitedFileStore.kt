package org.zinniahoist.consensus

/** A disk in memory of [capacity] bytes, where deleted files make room. The last append that fails may be torn. */
internal class LimitedFileStore(private val files: MemoryFileStore = MemoryFileStore()) : FileStore by files {
    /** May be changed by any thread. */
    @Volatile
    var capacity = Long.MAX_VALUE

    /** Appends fail after half of their bytes while this is true. May be changed by any thread. */
    @Volatile
    var tearsAppends = false

    /** Bytes of all files. */
    val used: Long get() = files.list().sumOf { files.size(it) }

    override fun append(name: String, bytes: ByteArray) {
        files.freeBytes = if (tearsAppends) bytes.size / 2L else (capacity - used).coerceAtLeast(0)
        files.append(name, bytes)
    }
}
