package org.zinniahoist.consensus

import com.sun.management.ThreadMXBean
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.zinniahoist.model.InstanceName
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import java.lang.management.ManagementFactory

internal class SnapshotEncodingTest {
    private val address = ReplicaAddress(ReplicaIdentifier(1), InstanceName("n1"))
    private val configuration = Configuration(listOf(Member(address, voter = true)))

    private fun snapshot(bytes: Int) = Snapshot(7, 3, 1_000, configuration, ByteArray(bytes) { it.toByte() })

    /** Guards against a snapshot file that can't be read again. */
    @ParameterizedTest
    @ValueSource(ints = [0, 1, 23, 24, 255, 256, 65_535, 65_536, 1_000_000])
    fun `an encoded snapshot is decoded unchanged`(bytes: Int) {
        val original = snapshot(bytes)
        val frame = FrameCodec.encodeSnapshot(original)
        expectThat(FrameCodec.frameLength(frame, 0)).isNotNull().isEqualTo(frame.size)
        val decoded = FrameCodec.decode(Snapshot.serializer(), frame, 0, frame.size)
        expectThat(decoded.index).isEqualTo(original.index)
        expectThat(decoded.term).isEqualTo(original.term)
        expectThat(decoded.timeMilliseconds).isEqualTo(original.timeMilliseconds)
        expectThat(decoded.configuration).isEqualTo(original.configuration)
        expectThat(decoded.data.contentEquals(original.data)).isTrue()
    }

    /** Guards against a process that runs out of memory when it writes the snapshot of a large state. */
    @Test
    fun `encoding a snapshot takes little more memory than its size`() {
        val large = snapshot(LARGE_BYTES)
        FrameCodec.encodeSnapshot(snapshot(1))
        val before = allocatedBytes()
        FrameCodec.encodeSnapshot(large)
        expectThat(allocatedBytes() - before).isLessThan(LARGE_BYTES * 11L / 10)
    }

    private fun allocatedBytes(): Long =
        (ManagementFactory.getThreadMXBean() as ThreadMXBean).currentThreadAllocatedBytes

    private companion object {
        const val LARGE_BYTES = 16 shl 20
    }
}
