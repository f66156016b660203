package org.zinniahoist.policy.retry

import org.zinniahoist.model.CallerName

/** Limits callers by counting the requests that each of them has in flight. */
public class CountingCallerLimiter : CallerLimiter {
    private val inFlight = HashMap<CallerName, Int>()

    override fun tryAcquire(caller: CallerName, maximum: Int): Boolean {
        val count = inFlight[caller] ?: 0
        if (count >= maximum) return false
        inFlight[caller] = count + 1
        return true
    }

    override fun release(caller: CallerName) {
        inFlight.computeIfPresent(caller) { _, count -> if (count <= 1) null else count - 1 }
    }
}
