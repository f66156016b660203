package org.zinniahoist.experiment.slopes

import java.lang.management.ManagementFactory

/**
 * Measures processor time and memory on the calling thread.
 *
 * The processor time of the thread is used instead of elapsed time, as other work on the machine would distort the
 * latter. It does not include the garbage collector and the compiler, which run on threads of their own.
 *
 * Memory needs a collector that compacts each time: the serial collector otherwise leaves dead objects of up to 5% of
 * the old generation in place, which hides small structures.
 */
internal class Meter {
    private val threads = ManagementFactory.getThreadMXBean()

    /** Keeps results alive, so that the compiler can't remove the work that produced them. */
    @Volatile
    private var sink: Any? = null

    /** Returns the median processor time in microseconds of [operation], which gets the number of the call. */
    fun microseconds(operation: (Int) -> Any?): Double {
        var call = 0
        val warmUpEnd = threads.currentThreadCpuTime + WARM_UP_NANOSECONDS
        while (threads.currentThreadCpuTime < warmUpEnd) sink = operation(call++)
        val batch = batchSize { operation(call++) }
        val samples = List(SAMPLES) {
            val start = threads.currentThreadCpuTime
            repeat(batch) { sink = operation(call++) }
            (threads.currentThreadCpuTime - start) / NANOSECONDS_IN_MICROSECOND / batch
        }
        return samples.sorted()[SAMPLES / 2]
    }

    /** Returns the median number of heap bytes that the result of [create] retains. */
    fun retainedBytes(create: () -> Any): Double {
        val samples = List(MEMORY_SAMPLES) {
            sink = null
            val before = usedHeap()
            sink = create()
            usedHeap() - before
        }
        sink = null
        return samples.sorted()[MEMORY_SAMPLES / 2].toDouble()
    }

    private fun batchSize(operation: () -> Any?): Int {
        var calls = 0
        val start = threads.currentThreadCpuTime
        while (threads.currentThreadCpuTime - start < BATCH_NANOSECONDS) {
            sink = operation()
            calls += 1
        }
        return calls
    }

    private fun usedHeap(): Long {
        // A second collection frees what finalizers and cleared references held during the first.
        repeat(2) { System.gc() }
        return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
    }

    private companion object {
        const val WARM_UP_NANOSECONDS = 500_000_000L
        const val BATCH_NANOSECONDS = 20_000_000L
        const val NANOSECONDS_IN_MICROSECOND = 1_000.0
        const val SAMPLES = 21
        const val MEMORY_SAMPLES = 3
    }
}
