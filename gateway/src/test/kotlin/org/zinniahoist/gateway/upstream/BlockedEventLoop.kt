package org.zinniahoist.gateway.upstream

import io.netty.channel.Channel
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Blocks the event loop of a connection until it is released. */
internal class BlockedEventLoop(private val channel: Channel) {
    private val released = CompletableFuture<Unit>()

    init {
        val begun = CompletableFuture<Unit>()
        channel.eventLoop().execute {
            begun.complete(Unit)
            released.join()
        }
        begun.join()
    }

    /** Returns true if another thread resumes reading from this paused connection. */
    fun isReadingResumedElsewhere(): Boolean = awaitCondition(BLOCKING_TIME) { channel.config().isAutoRead }

    fun release() {
        released.complete(Unit)
    }

    private companion object {
        /** Much longer than the few milliseconds in which the buffered chunks are consumed. */
        val BLOCKING_TIME = 500.milliseconds
    }
}

/** Waits until reading from this channel is paused. Returns false if it is not within eight seconds. */
internal fun Channel.awaitReadingPaused(): Boolean = awaitCondition(8.seconds) { !config().isAutoRead }

/** Waits until [condition] is true. Returns false if it is not within [timeout]. */
internal fun awaitCondition(timeout: Duration, condition: () -> Boolean): Boolean {
    val end = System.nanoTime() + timeout.inWholeNanoseconds
    while (System.nanoTime() < end) {
        if (condition()) return true
        Thread.sleep(1)
    }
    return condition()
}
