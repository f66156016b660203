package org.zinniahoist.consensus

import java.io.IOException

/**
 * The files of one folder, as far as the log needs them. Each function throws [IOException] if the disk fails.
 *
 * Appended bytes are durable after [sync] of the file; created, renamed and deleted names after [syncFolder].
 */
public interface FileStore : AutoCloseable {
    /** Path of the folder, for messages. */
    public val location: String

    /** Returns the names of all files. */
    public fun list(): List<String>

    /** Returns the size of the file [name] in bytes. */
    public fun size(name: String): Long

    /** Returns the whole content of the file [name]. */
    public fun read(name: String): ByteArray

    /** Appends [bytes] to the file [name], which is created if it doesn't exist. */
    public fun append(name: String, bytes: ByteArray)

    /** Makes the content of the file [name] durable. */
    public fun sync(name: String)

    /** Cuts the file [name] to [size] bytes. */
    public fun truncate(name: String, size: Long)

    /** Deletes the file [name]. */
    public fun delete(name: String)

    /** Renames the file [from] to [to] and atomically replaces [to] if it exists. */
    public fun rename(from: String, to: String)

    /** Makes the names in the folder durable. */
    public fun syncFolder()
}

/** Replaces the file [name] by [bytes] so that after a crash it has the old or the new content. */
internal fun FileStore.replace(name: String, bytes: ByteArray) {
    val temporary = name + TEMPORARY_SUFFIX
    if (temporary in list()) delete(temporary)
    append(temporary, bytes)
    sync(temporary)
    rename(temporary, name)
    syncFolder()
}

internal const val TEMPORARY_SUFFIX = ".tmp"
