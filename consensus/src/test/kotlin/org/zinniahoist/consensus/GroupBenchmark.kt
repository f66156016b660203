package org.zinniahoist.consensus

import arrow.core.getOrElse
import org.HdrHistogram.ConcurrentHistogram
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Semaphore
import java.util.concurrent.atomic.AtomicLong

private const val COMMAND_BYTES = 300
private const val NANOSECONDS = 1_000_000_000L

/** Benchmarks writes, failover or recovery. Arguments: mode, folder, and the numeric parameters of the mode. */
internal fun main(arguments: Array<String>) {
    val folder = Files.createTempDirectory(Path.of(arguments[1]), "consensus-benchmark")
    try {
        when (arguments[0]) {
            "writes" -> writes(folder, arguments[2].toInt(), arguments[3].toInt(), arguments[4].toInt())
            "failover" -> failover(folder, arguments[2].toInt())
            "recovery" -> recovery(folder, arguments[2].toInt())
        }
    } finally {
        folder.toFile().deleteRecursively()
    }
}

private fun group(folder: Path, size: Int) =
    LocalGroup({ DiskFileStore(folder.resolve("n$it")) }, size, ReplicaOptions())

/** Keeps [clients] concurrent requests in flight for [seconds] after a warm-up of 5 s. */
private fun writes(
    folder: Path,
    size: Int,
    clients: Int,
    seconds: Int,
) {
    val group = group(folder, size)
    val leader = group.awaitLeader()
    val histogram = ConcurrentHistogram(3)
    val acknowledged = AtomicLong()
    val failed = AtomicLong()
    val slots = Semaphore(clients)
    val command = ByteArray(COMMAND_BYTES)
    val begin = System.nanoTime() + 5 * NANOSECONDS
    val end = begin + seconds * NANOSECONDS
    while (System.nanoTime() < end) {
        slots.acquire()
        val start = System.nanoTime()
        leader.propose(command).thenAccept { answer ->
            slots.release()
            val now = System.nanoTime()
            if (answer.isLeft()) failed.incrementAndGet()
            if (now in begin..<end && answer.isRight()) {
                acknowledged.incrementAndGet()
                histogram.recordValue(now - start)
            }
        }
    }
    group.close()
    val (p50, p99) = listOf(50.0, 99.0).map { histogram.getValueAtPercentile(it) / 1_000 }
    val rate = acknowledged.get() / seconds
    println("writes replicas=$size clients=$clients per_second=$rate p50_us=$p50 p99_us=$p99 failed=$failed")
}

/** Measures the time from stopping the leader to the first acknowledged write on another replica. */
private fun failover(folder: Path, rounds: Int) {
    val group = group(folder, size = 3)
    val milliseconds =
        List(rounds) {
            val leader = group.awaitLeader()
            leader.propose(ByteArray(COMMAND_BYTES)).join()
            val number = leader.status.address.instance.value.removePrefix("n").toInt()
            val start = System.nanoTime()
            group.stop(leader)
            while (group.awaitLeader().propose(ByteArray(COMMAND_BYTES)).join().isLeft()) Thread.sleep(1)
            val elapsed = (System.nanoTime() - start) / 1_000_000
            group.start(number)
            elapsed
        }.sorted()
    group.close()
    println("failover rounds=$rounds median_ms=${milliseconds[rounds / 2]} maximum_ms=${milliseconds.last()}")
}

/** Measures the time from opening the folder to the first answered query, with one replica and no snapshot. */
private fun recovery(folder: Path, entries: Int) {
    val options = ReplicaOptions(snapshotInterval = Long.MAX_VALUE)
    val group = LocalGroup({ DiskFileStore(folder.resolve("n$it")) }, 1, options)
    val leader = group.awaitLeader()
    val slots = Semaphore(10_000)
    repeat(entries) {
        slots.acquire()
        leader.propose(ByteArray(COMMAND_BYTES)).thenAccept { slots.release() }
    }
    slots.acquire(10_000)
    group.stop(leader)
    repeat(3) {
        val start = System.nanoTime()
        val host = group.start(0)
        val opened = System.nanoTime()
        while (true) {
            val count = host.query(ByteArray(0)).join().map(CountingMachine::decode).getOrElse { -1 }
            if (count >= entries) break
            Thread.sleep(1)
        }
        val answered = System.nanoTime()
        val (openMs, answerMs) = listOf(opened, answered).map { (it - start) / 1_000_000 }
        println(
            "recovery entries=$entries open_ms=$openMs answer_ms=$answerMs",
        )
        group.stop(host)
    }
}
