package org.zinniahoist.consensus

import java.io.IOException
import kotlin.random.Random

/** Files in memory that lose on a crash what was not synced, as a disk may. */
internal class MemoryFileStore : FileStore {
    private class Content(var bytes: ByteArray) {
        var size = 0
        var synced = 0

        /** Bytes from here on were part of a failed sync and are not written any more, or null. */
        var forgottenFrom: Int? = null

        fun append(added: ByteArray) {
            if (size + added.size > bytes.size) bytes = bytes.copyOf((size + added.size) * 2)
            added.copyInto(bytes, size)
            size += added.size
        }
    }

    private var names = LinkedHashMap<String, Content>()
    private var durableNames = LinkedHashMap<String, Content>()
    private val pendingNameChanges = ArrayList<(MutableMap<String, Content>) -> Unit>()

    /** Syncs of files fail while this is true. */
    var failSyncs = false

    /** After a failed sync of a file, later ones report success without writing the bytes that it covered. */
    var forgetsAfterFailedSync = false

    /** Bytes that can still be appended before the disk is full. */
    var freeBytes = Long.MAX_VALUE

    override val location = "memory"

    override fun list(): List<String> = names.keys.toList()

    override fun size(name: String): Long = content(name).size.toLong()

    override fun read(name: String): ByteArray = content(name).let { it.bytes.copyOf(it.size) }

    override fun append(name: String, bytes: ByteArray) {
        val file = names[name] ?: Content(ByteArray(256)).also { created -> change { it[name] = created } }
        val written = minOf(freeBytes, bytes.size.toLong()).toInt()
        freeBytes -= written
        file.append(bytes.copyOf(written))
        if (written < bytes.size) throw IOException("no space left on device")
    }

    override fun sync(name: String) {
        val file = content(name)
        if (failSyncs) {
            if (forgetsAfterFailedSync) file.forgottenFrom = file.forgottenFrom ?: file.synced
            throw IOException("sync failed")
        }
        file.synced = file.forgottenFrom ?: file.size
    }

    override fun truncate(name: String, size: Long) {
        val file = content(name)
        file.size = size.toInt()
        file.synced = minOf(file.synced, file.size)
    }

    override fun delete(name: String) {
        content(name)
        change { it.remove(name) }
    }

    override fun rename(from: String, to: String) {
        val file = content(from)
        change {
            it.remove(from)
            it[to] = file
        }
    }

    override fun syncFolder() {
        if (failSyncs) throw IOException("sync failed")
        durableNames = LinkedHashMap(names)
        pendingNameChanges.clear()
    }

    override fun close() = Unit

    /** Drops a random part of what was not synced. The rest of an unsynced append may be damaged. */
    fun crash(random: Random) {
        pendingNameChanges.take(random.nextInt(pendingNameChanges.size + 1)).forEach { it(durableNames) }
        pendingNameChanges.clear()
        names = LinkedHashMap(durableNames)
        for (file in names.values) {
            val unsynced = file.size - file.synced
            if (unsynced == 0) continue
            file.size = file.synced + random.nextInt(unsynced + 1)
            if (file.size > file.synced && random.nextBoolean()) {
                file.bytes[random.nextInt(file.synced, file.size)] = random.nextInt().toByte()
            }
            file.synced = file.size
        }
        failSyncs = false
    }

    fun corrupt(name: String, offset: Int) {
        val file = content(name)
        file.bytes[offset] = (file.bytes[offset].toInt() xor 0x10).toByte()
    }

    private fun change(block: (MutableMap<String, Content>) -> Unit) {
        block(names)
        pendingNameChanges += block
    }

    private fun content(name: String): Content = names[name] ?: throw IOException("no file $name")
}
