package org.zinniahoist.policy.liveness

import org.zinniahoist.model.Moment

/** Baseline: considers an upstream healthy until its connections break. */
public class NoOpUpstreamHealth : UpstreamHealth {
    override fun onActivity(connection: Long, now: Moment): Unit = Unit

    override fun onIdle(connection: Long): Unit = Unit

    override fun onProbeResult(result: ProbeResult?, now: Moment): Unit = Unit

    override fun check(now: Moment): UpstreamAction = UpstreamAction.None
}
