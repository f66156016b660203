package org.zinniahoist.consensus

import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.channels.OverlappingFileLockException
import java.nio.file.AtomicMoveNotSupportedException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.nio.file.StandardOpenOption
import kotlin.io.path.isRegularFile
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name

/** [FileStore] in the folder [path], which is created if missing. A lock file prevents use by several processes. */
public class DiskFileStore
@Throws(IOException::class)
constructor(private val path: Path) : FileStore {
    private val channels = HashMap<String, FileChannel>()
    private val lockChannel: FileChannel

    init {
        Files.createDirectories(path)
        lockChannel = FileChannel.open(path.resolve(LOCK_NAME), StandardOpenOption.CREATE, StandardOpenOption.WRITE)
        val refusal = lockRefusal()
        if (refusal != null) {
            lockChannel.close()
            throw refusal
        }
    }

    /** Acquires the lock, or returns the reason for which this failed. */
    private fun lockRefusal(): IOException? = try {
        if (lockChannel.tryLock() == null) IOException("folder $path is in use by another process") else null
    } catch (fault: OverlappingFileLockException) {
        IOException("folder $path is in use by this process", fault)
    } catch (fault: IOException) {
        IOException("folder $path can't be locked: ${fault.message}", fault)
    }

    override val location: String get() = path.toString()

    override fun list(): List<String> =
        path.listDirectoryEntries().filter { it.isRegularFile() && it.name != LOCK_NAME }.map { it.name }

    override fun size(name: String): Long = Files.size(path.resolve(name))

    override fun read(name: String): ByteArray = Files.readAllBytes(path.resolve(name))

    override fun append(name: String, bytes: ByteArray) {
        val channel = channel(name)
        val buffer = ByteBuffer.wrap(bytes)
        while (buffer.hasRemaining()) channel.write(buffer)
    }

    override fun sync(name: String) {
        channel(name).force(false)
    }

    override fun truncate(name: String, size: Long) {
        channel(name).truncate(size)
    }

    override fun delete(name: String) {
        channels.remove(name)?.close()
        Files.delete(path.resolve(name))
    }

    override fun rename(from: String, to: String) {
        channels.remove(from)?.close()
        channels.remove(to)?.close()
        try {
            Files.move(path.resolve(from), path.resolve(to), StandardCopyOption.ATOMIC_MOVE)
        } catch (failure: AtomicMoveNotSupportedException) {
            throw IOException("the file system of $path can't replace files atomically", failure)
        }
    }

    override fun syncFolder() {
        FileChannel.open(path, StandardOpenOption.READ).use { it.force(true) }
    }

    override fun close() {
        try {
            channels.values.forEach { it.close() }
        } finally {
            channels.clear()
            lockChannel.close()
        }
    }

    private fun channel(name: String): FileChannel = channels.getOrPut(name) {
        FileChannel.open(path.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.APPEND)
    }

    private companion object {
        const val LOCK_NAME = "lock"
    }
}
