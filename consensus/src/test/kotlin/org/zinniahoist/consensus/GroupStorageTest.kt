package org.zinniahoist.consensus

import arrow.core.Either
import arrow.core.getOrElse
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.zinniahoist.model.InstanceName
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEqualTo
import java.nio.file.Path
import kotlin.random.Random

class GroupStorageTest {
    private val files = MemoryFileStore()
    private val identifier = ReplicaIdentifier(7)
    private val segment = Segment.name(1)

    private fun open(fresh: Long = 7): GroupStorage.OpenedStorage =
        GroupStorage.open(files, ReplicaIdentifier(fresh), segmentBytes = 1_000).getOrElse { error(it.message) }

    private fun entry(index: Long, term: Long = 1) = LogEntry(index, term, index, ByteArray(100) { index.toByte() })

    private fun persist(vararg entries: LogEntry, snapshot: Snapshot? = null, term: Long = 1) =
        ReplicaAction.Persist(1, HardState(term, identifier), snapshot, entries.firstOrNull()?.index, entries.toList())

    private fun append(entry: LogEntry) = ReplicaAction.Persist(2, null, null, null, listOf(entry))

    private fun snapshot(index: Long, term: Long) = Snapshot(index, term, index, Configuration.EMPTY, ByteArray(10))

    private fun GroupStorage.write(vararg changes: ReplicaAction.Persist): Either<StorageError, Unit> =
        write(changes.toList())

    private fun recovered(): List<String> = open().recovered.entries.map { it.toString() }

    private fun reopened(): List<String> =
        GroupStorage.open(files, identifier, segmentBytes = 1_000, isAfterFailure = true)
            .getOrElse { error(it.message) }
            .recovered.entries.map { it.toString() }

    @Nested
    inner class `The end of the log` {
        /** Guards against a replica that can't start after a crash during a write. */
        @Test
        fun `is truncated if torn, at each length`() {
            open().storage.write(persist(entry(1)))
            val whole = files.size(segment)
            open().storage.write(persist(entry(2)))
            for (size in files.size(segment) - 1 downTo whole) {
                files.truncate(segment, size)
                expectThat(recovered()).isEqualTo(listOf("1@1"))
                expectThat(files.size(segment)).isEqualTo(whole)
                open().storage.write(persist(entry(2)))
            }
        }

        /** Guards against entries of a replaced tail that reappear after a restart. */
        @Test
        fun `is replaced by entries with smaller indexes`() {
            open().storage.write(persist(entry(1), entry(2), entry(3)))
            open().storage.write(persist(entry(2, term = 2), term = 2))
            expectThat(recovered()).isEqualTo(listOf("1@1", "2@2"))
        }

        /** Guards against joining an old log with a snapshot that it does not contain. */
        @Test
        fun `is discarded if it conflicts with the snapshot`() {
            open().storage.write(persist(entry(1), entry(2), entry(3)))
            open().storage.write(persist(entry(3, term = 2), snapshot = snapshot(2, term = 2), term = 2))
            expectThat(recovered()).isEqualTo(listOf("3@2"))
        }
    }

    @Nested
    inner class Corruption {
        /** Guards against the silent loss of acknowledged entries. */
        @Test
        fun `before the tail is reported with file and offset`() {
            open().storage.write(persist(entry(1)))
            val offset = files.size(segment)
            open().storage.write(persist(entry(2)))
            open().storage.write(persist(entry(3)))
            files.corrupt(segment, offset.toInt() + 20)
            val error = StorageError.Corrupt(segment, offset, "damaged frame")
            expectThat(GroupStorage.open(files, identifier)).isLeft().isEqualTo(error)
            expectThat(FolderMaintenance.inspect(files)).isLeft().isEqualTo(error)
        }

        /** Guards against a replica that votes twice in a term after its vote file was lost or damaged. */
        @Test
        fun `of the vote is reported`() {
            open().storage.write(persist(entry(1)))
            files.corrupt("vote", 17)
            expectThat(GroupStorage.open(files, identifier)).isLeft()
                .isEqualTo(StorageError.Corrupt("vote", 0, "damaged frame"))
            files.delete("vote")
            expectThat(GroupStorage.open(files, identifier)).isLeft()
                .isEqualTo(StorageError.Corrupt("vote", 0, "the file is missing"))
        }

        /** Guards against opening a folder in which a segment in the middle is missing. */
        @Test
        fun `by a missing segment is reported`() {
            for (index in 1L..30L) open().storage.write(persist(entry(index)))
            files.delete(Segment.name(2))
            expectThat(GroupStorage.open(files, identifier)).isLeft().isA<StorageError.Corrupt>()
                .get { file }.isEqualTo(Segment.name(3))
        }
    }

    @Nested
    inner class `A disk that fails` {
        /** Guards against acknowledgements after a failed sync, whose pages the operating system may have discarded. */
        @Test
        fun `rejects all writes after a failed sync`() {
            val storage = open().storage
            files.failSyncs = true
            expectThat(storage.write(persist(entry(1)))).isLeft()
            files.failSyncs = false
            expectThat(storage.write(persist(entry(1)))).isLeft().isA<StorageError.Failed>()
        }

        /** Guards against a log that can't be reopened after the disk was full. */
        @Test
        fun `rejects writes when full and can be reopened`() {
            val storage = open().storage
            storage.write(persist(entry(1)))
            files.freeBytes = 150
            expectThat(storage.write(persist(entry(2)))).isLeft()
            files.freeBytes = Long.MAX_VALUE
            expectThat(storage.write(persist(entry(2)))).isLeft()
            expectThat(recovered()).isEqualTo(listOf("1@1"))
        }

        /** Guards against losing an entry in a power failure after a restarted process acknowledged it. */
        @Test
        fun `keeps the recovered entries in a power failure`() {
            for (seed in 1..50) {
                val storage = open().storage
                storage.write(persist(entry(1)))
                files.failSyncs = true
                storage.write(append(entry(2)))
                files.failSyncs = false
                val read = recovered()
                files.crash(Random(seed))
                expectThat(recovered()).isEqualTo(read)
                files.list().forEach { files.delete(it) }
            }
        }

        /** Guards against treating an entry as durable because the next sync after a failed one succeeds. */
        @Test
        fun `keeps the entries recovered after a failed sync whose bytes were discarded`() {
            files.discardsAfterFailedSync = true
            for (seed in 1..50) {
                val storage = open().storage
                storage.write(persist(entry(1)))
                files.failSyncs = true
                storage.write(append(entry(2)))
                files.failSyncs = false
                val read = reopened()
                files.crash(Random(seed))
                expectThat(recovered()).isEqualTo(read)
                files.list().forEach { files.delete(it) }
            }
        }

        /** Guards against a replica that reopens its folder and fails in a loop while its disk rejects writes. */
        @Test
        fun `is not reopened after a failure while it rejects writes`() {
            open().storage.write(persist(entry(1)))
            files.freeBytes = 0
            expectThat(GroupStorage.open(files, identifier, isAfterFailure = true)).isLeft().isA<StorageError.Failed>()
            files.freeBytes = Long.MAX_VALUE
            expectThat(reopened()).isEqualTo(listOf("1@1"))
        }

        /** Guards against a second vote under the identifier of a replica whose first vote was lost with its disk. */
        @Test
        fun `and is erased gives the replica a new identifier`() {
            expectThat(open(fresh = 8).recovered.identifier).isEqualTo(ReplicaIdentifier(8))
            expectThat(open(fresh = 9).recovered.identifier).isEqualTo(ReplicaIdentifier(8))
        }
    }

    @Nested
    inner class Snapshots {
        /** Guards against unbounded growth of the log. */
        @Test
        fun `delete the segments they cover`() {
            val storage = open().storage
            for (index in 1L..100L) storage.write(persist(entry(index)))
            val before = Segment.names(files.list()).size
            storage.saveSnapshot(snapshot(95, term = 1))
            expectThat(before).isGreaterThan(Segment.names(files.list()).size + 8)
            expectThat(recovered()).isEqualTo((96L..100L).map { "$it@1" })
        }

        /** Guards against losing both the old and the new snapshot in a crash during replacement. */
        @Test
        fun `are replaced atomically`() {
            for (seed in 1..50) {
                val storage = open().storage
                storage.write(persist(entry(1), entry(2), entry(3)))
                storage.saveSnapshot(snapshot(1, term = 1))
                files.failSyncs = true
                storage.saveSnapshot(snapshot(2, term = 1))
                files.crash(Random(seed))
                expectThat(open().recovered.snapshot?.index).isEqualTo(1)
                files.list().forEach { files.delete(it) }
            }
        }
    }

    @Nested
    inner class Maintenance {
        @TempDir
        lateinit var folder: Path

        /** Guards against unreadable backups, and against two users of one folder. */
        @Test
        fun `copies a folder to another disk`() {
            open().storage.write(persist(entry(1), entry(2)))
            DiskFileStore(folder).use { target ->
                expectThat(FolderMaintenance.copy(files, target)).isRight()
                expectThat(FolderMaintenance.inspect(target)).isEqualTo(FolderMaintenance.inspect(files))
                expectThat(Either.catch { DiskFileStore(folder) }.isRight()).isFalse()
                expectThat(FolderMaintenance.copy(files, target)).isLeft().isA<StorageError.NotEmpty>()
            }
        }

        /** Guards against a restored replica that votes in the old group under its old identifier. */
        @Test
        fun `restores a backup as a new group`() {
            open().storage.write(persist(entry(1), entry(2)))
            val target = MemoryFileStore()
            val report = FolderMaintenance.restore(files, target, ReplicaIdentifier(9), InstanceName("n"))
            expectThat(report).isRight().and {
                get { this.identifier }.isEqualTo(ReplicaIdentifier(9)).isNotEqualTo(identifier)
                get { lastIndex }.isEqualTo(3)
                get { configuration.voters }.isEqualTo(listOf(ReplicaIdentifier(9)))
            }
        }
    }
}
