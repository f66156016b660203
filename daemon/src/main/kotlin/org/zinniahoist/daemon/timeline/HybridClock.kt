package org.zinniahoist.daemon.timeline

import org.zinniahoist.state.report.HybridStamp

/**
 * Hybrid logical clock: stamps follow the wall clock, but never decrease and go beyond each observed stamp.
 *
 * @param wallMilliseconds reads the wall clock in milliseconds since the epoch.
 */
public class HybridClock(private val wallMilliseconds: () -> Long) {
    private var last = HybridStamp(0)

    /** Returns a stamp larger than all stamps returned or observed before. */
    @Synchronized
    public fun next(): HybridStamp {
        val wall = wallMilliseconds()
        last = if (wall > last.milliseconds) HybridStamp(wall) else last.copy(counter = last.counter + 1)
        return last
    }

    /** Takes note of [stamp] of another process, so that later stamps here are larger. */
    @Synchronized
    public fun observe(stamp: HybridStamp) {
        if (stamp > last) last = stamp
    }
}
