package org.zinniahoist.consensus

import java.io.IOException

/**
 * File operations in one folder. Each function throws [IOException] on a disk error.
 *
 * Appended bytes are durable after [sync] of the file; created, renamed and deleted files after [syncFolder].
 */
public interface FileStore : AutoCloseable {
    /** Path of the folder, for error messages. */
    public val location: String

    /** Returns the names of all files in the folder. */
    public fun list(): List<String>

    /** Returns the size of the file [name] in bytes. */
    public fun size(name: String): Long

    /** Returns the whole content of the file [name]. */
    public fun read(name: String): ByteArray

    /** Appends [bytes] to the file [name], which is created if it doesn't exist. */
    public fun append(name: String, bytes: ByteArray)

    /** Makes the content of the file [name] durable. */
    public fun sync(name: String)

    /** Truncates the file [name] to [size] bytes. */
    public fun truncate(name: String, size: Long)

    /** Deletes the file [name]. */
    public fun delete(name: String)

    /** Renames the file [from] to [to], atomically replacing [to] if it exists. */
    public fun rename(from: String, to: String)

    /** Makes the directory entries of the folder durable. */
    public fun syncFolder()
}

/** Atomically replaces the content of the file [name]: after a crash it has either the old content or [bytes]. */
internal fun FileStore.replace(name: String, bytes: ByteArray) {
    val temporary = name + TEMPORARY_SUFFIX
    if (temporary in list()) delete(temporary)
    append(temporary, bytes)
    sync(temporary)
    rename(temporary, name)
    syncFolder()
}

internal const val TEMPORARY_SUFFIX = ".tmp"
