package org.zinniahoist.gateway.upstream

import io.netty.channel.Channel
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Keeps the thread of a connection busy until it is released. */
internal class BlockedLoop(private val channel: Channel) {
    private val released = CompletableFuture<Unit>()

    init {
        val begun = CompletableFuture<Unit>()
        channel.eventLoop().execute {
            begun.complete(Unit)
            released.join()
        }
        begun.join()
    }

    /** Returns true if another thread resumes the reading of this connection, which is paused. */
    fun isReadingResumed(): Boolean = holdsWithin(BLOCKED_TIME) { channel.config().isAutoRead }

    fun release() {
        released.complete(Unit)
    }

    private companion object {
        /** The pieces that wait are taken within a few milliseconds. */
        val BLOCKED_TIME = 500.milliseconds
    }
}

/** Returns true if reading from this channel is paused within a few seconds. */
internal fun Channel.isPausedSoon(): Boolean = holdsWithin(8.seconds) { !config().isAutoRead }

/** Returns true once [condition] holds, and false if it doesn't within [bound]. */
internal fun holdsWithin(bound: Duration, condition: () -> Boolean): Boolean {
    val end = System.nanoTime() + bound.inWholeNanoseconds
    while (System.nanoTime() < end) {
        if (condition()) return true
        Thread.sleep(1)
    }
    return condition()
}
