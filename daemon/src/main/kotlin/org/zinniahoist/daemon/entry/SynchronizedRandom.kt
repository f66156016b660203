package org.zinniahoist.daemon.entry

import kotlin.random.Random

/** Makes [source] safe for use by several threads; unsynchronized use can repeat numbers. */
internal class SynchronizedRandom(private val source: Random) : Random() {
    override fun nextBits(bitCount: Int): Int = synchronized(source) { source.nextBits(bitCount) }
}
