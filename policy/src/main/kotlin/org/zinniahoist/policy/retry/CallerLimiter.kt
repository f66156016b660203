package org.zinniahoist.policy.retry

import org.zinniahoist.model.CallerName

/** Limits the requests that one caller has in flight at an entry. */
public interface CallerLimiter {
    /** Takes a place for a request of [caller], or returns false if [maximum] requests are in flight. */
    public fun tryAcquire(caller: CallerName, maximum: Int): Boolean

    /** Gives the place of an ended request back. */
    public fun release(caller: CallerName)
}

/** Baseline: no limit. */
public class UnlimitedCallerLimiter : CallerLimiter {
    override fun tryAcquire(caller: CallerName, maximum: Int): Boolean = true

    override fun release(caller: CallerName): Unit = Unit
}
