package org.zinniahoist.policy.retry

import org.zinniahoist.model.CallerName

/** Limits the number of requests that each caller can have in flight at an entry. */
public interface CallerLimiter {
    /** Acquires a permit for a request of [caller], or returns false if it already has [maximum] requests in flight. */
    public fun tryAcquire(caller: CallerName, maximum: Int): Boolean

    /** Releases the permit of a completed request. */
    public fun release(caller: CallerName)
}

/** Baseline limiter: admits every request. */
public class UnlimitedCallerLimiter : CallerLimiter {
    override fun tryAcquire(caller: CallerName, maximum: Int): Boolean = true

    override fun release(caller: CallerName): Unit = Unit
}
