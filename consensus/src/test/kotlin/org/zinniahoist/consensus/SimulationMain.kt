package org.zinniahoist.consensus

import java.util.concurrent.ConcurrentSkipListMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.system.exitProcess
import kotlin.time.TimeSource

/** Runs simulations. Arguments: first seed, number of seeds, number of threads, name of an [InjectedBug]. */
internal fun main(arguments: Array<String>) {
    val first = arguments.getOrNull(0)?.toLong() ?: 1
    val count = arguments.getOrNull(1)?.toLong() ?: 1_000
    val threads = arguments.getOrNull(2)?.toInt() ?: 4
    val bug = arguments.getOrNull(3)?.let(InjectedBug::valueOf) ?: InjectedBug.NONE
    val next = AtomicLong(first)
    val failures = AtomicLong()
    val totals = ConcurrentSkipListMap<String, Long>()
    val start = TimeSource.Monotonic.markNow()
    List(threads) {
        thread {
            while (true) {
                val seed = next.getAndIncrement()
                if (seed >= first + count) break
                val failure = Simulation.check(seed, bug) { add(totals, it) } ?: continue
                if (failures.incrementAndGet() <= 3) println(failure) else println("seed=$seed failed")
            }
        }
    }.forEach { it.join() }
    val seconds = start.elapsedNow().inWholeSeconds
    println(
        "seeds=$first..${first + count - 1} fault=$bug failures=$failures seconds=$seconds",
    )
    println("totals=$totals")
    if (failures.get() > 0) exitProcess(1)
}

private fun add(totals: ConcurrentSkipListMap<String, Long>, counts: Map<String, Long>) {
    counts.forEach { (event, count) -> totals.merge(event, count, Long::plus) }
}
