package org.zinniahoist.consensus

import java.io.IOException
import kotlin.random.Random

/** In-memory file store that, like a disk, may lose unsynced data in a crash. */
internal class MemoryFileStore : FileStore {
    private class Content(var bytes: ByteArray) {
        var size = 0
        var synced = 0

        /** Offset from which on bytes were discarded by a failed sync and are never written; null if there is none. */
        var discardedFrom: Int? = null

        fun append(added: ByteArray) {
            if (size + added.size > bytes.size) bytes = bytes.copyOf((size + added.size) * 2)
            added.copyInto(bytes, size)
            size += added.size
        }
    }

    private var names = LinkedHashMap<String, Content>()
    private var durableNames = LinkedHashMap<String, Content>()
    private val pendingNameChanges = ArrayList<(MutableMap<String, Content>) -> Unit>()

    /** Makes syncs fail while true. */
    var failSyncs = false

    /** Makes syncs after a failed one succeed without writing the bytes that the failed one covered. */
    var discardsAfterFailedSync = false

    /** Remaining capacity in bytes. */
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
            if (discardsAfterFailedSync) file.discardedFrom = file.discardedFrom ?: file.synced
            throw IOException("sync failed")
        }
        file.synced = file.discardedFrom ?: file.size
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

    /** Simulates a crash: discards a random part of the unsynced data, and may corrupt the rest of it. */
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
