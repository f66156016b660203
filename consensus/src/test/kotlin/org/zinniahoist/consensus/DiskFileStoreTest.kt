package org.zinniahoist.consensus

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isNotNull
import java.io.IOException
import java.nio.channels.OverlappingFileLockException
import java.nio.file.Path

class DiskFileStoreTest {
    /** Guards against a lock error without its cause, which makes an operator search for another process in vain. */
    @Test
    fun `locking a folder twice in one process fails with the cause`(@TempDir folder: Path) {
        val first = DiskFileStore(folder)
        val refusal = assertThrows<IOException> { DiskFileStore(folder) }
        expectThat(refusal.message).isNotNull().contains("in use by this process")
        expectThat(refusal.cause).isA<OverlappingFileLockException>()
        first.close()
    }
}
