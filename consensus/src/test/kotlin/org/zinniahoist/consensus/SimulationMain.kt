package org.zinniahoist.consensus

import java.util.concurrent.ConcurrentSkipListMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.system.exitProcess
import kotlin.time.TimeSource

/** Runs schedules: arguments are the first seed, the number of seeds, the number of threads and a planted fault. */
internal fun main(arguments: Array<String>) {
    val first = arguments.getOrNull(0)?.toLong() ?: 1
    val count = arguments.getOrNull(1)?.toLong() ?: 1_000
    val threads = arguments.getOrNull(2)?.toInt() ?: 4
    val fault = arguments.getOrNull(3)?.let(PlantedFault::valueOf) ?: PlantedFault.NONE
    val next = AtomicLong(first)
    val failures = AtomicLong()
    val totals = ConcurrentSkipListMap<String, Long>()
    val start = TimeSource.Monotonic.markNow()
    List(threads) {
        thread {
            while (true) {
                val seed = next.getAndIncrement()
                if (seed >= first + count) break
                val failure = Simulation.check(seed, fault) { add(totals, it) } ?: continue
                if (failures.incrementAndGet() <= 3) println(failure) else println("seed=$seed failed")
            }
        }
    }.forEach { it.join() }
    val seconds = start.elapsedNow().inWholeSeconds
    println(
        "seeds=$first..${first + count - 1} fault=$fault failures=$failures seconds=$seconds",
    )
    println("totals=$totals")
    if (failures.get() > 0) exitProcess(1)
}

private fun add(totals: ConcurrentSkipListMap<String, Long>, counts: Map<String, Long>) {
    counts.forEach { (what, count) -> totals.merge(what, count, Long::plus) }
}
