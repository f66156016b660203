package org.zinniahoist.daemon.entry

import kotlin.random.Random

/** Makes [source] thread-safe. Unsynchronized concurrent use can return the same number twice. */
internal class SynchronizedRandom(private val source: Random) : Random() {
    override fun nextBits(bitCount: Int): Int = synchronized(source) { source.nextBits(bitCount) }
}
