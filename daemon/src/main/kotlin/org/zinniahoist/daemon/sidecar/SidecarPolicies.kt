package org.zinniahoist.daemon.sidecar

import org.zinniahoist.policy.admission.AdmissionQueue
import org.zinniahoist.policy.admission.ArrivalOrderQueue
import org.zinniahoist.policy.admission.ConcurrencyLimiter
import org.zinniahoist.policy.admission.FixedConcurrencyLimiter
import org.zinniahoist.policy.liveness.NoOpUpstreamHealth
import org.zinniahoist.policy.liveness.UpstreamHealth

/** The decision objects of a sidecar. The sidecar calls each of them under a lock of its own. */
public class SidecarPolicies(
    public val crashReports: CrashReports,
    public val queue: AdmissionQueue = ArrivalOrderQueue(),
    public val limiter: ConcurrencyLimiter = FixedConcurrencyLimiter(),
    public val health: UpstreamHealth = NoOpUpstreamHealth(),
)
