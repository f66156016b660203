package org.zinniahoist.daemon

import org.zinniahoist.daemon.control.GroupName
import org.zinniahoist.daemon.control.LedgerClient
import org.zinniahoist.daemon.entry.EntryPolicies
import org.zinniahoist.daemon.sidecar.LocalCrashReports
import org.zinniahoist.daemon.sidecar.SharedCrashReports
import org.zinniahoist.daemon.sidecar.SidecarPolicies
import org.zinniahoist.policy.admission.FairShareQueue
import org.zinniahoist.policy.admission.ThroughputConcurrencyLimiter
import org.zinniahoist.policy.liveness.HeartbeatAvailabilityTracker
import org.zinniahoist.policy.poison.CrashCountingRegistry
import org.zinniahoist.policy.routing.EstimatedWaitRouter
import org.zinniahoist.policy.sampling.LogNormalLengthEstimator
import org.zinniahoist.policy.sampling.LongestFirstScheduler
import org.zinniahoist.policy.staleness.PredictiveStalenessPolicy
import org.zinniahoist.settings.DaemonSettings

/** Makes the decision objects of a daemon's roles. */
public class DaemonPolicies(
    internal val entry: () -> EntryPolicies,
    internal val sidecar: (LedgerClient) -> SidecarPolicies,
) {
    public companion object {
        /** The policies that are chosen by measurement. */
        public fun chosen(settings: DaemonSettings): DaemonPolicies = DaemonPolicies(
            entry = {
                EntryPolicies(
                    router = { EstimatedWaitRouter(settings.failureDomain) },
                    leaving = HeartbeatAvailabilityTracker(),
                    staleness = PredictiveStalenessPolicy(),
                    lengths = ::LogNormalLengthEstimator,
                    scheduler = ::LongestFirstScheduler,
                )
            },
            sidecar = { ledger ->
                SidecarPolicies(
                    crashReports = SharedCrashReports(
                        instance = settings.name,
                        group = GroupName.ledger(settings.failureDomain.region),
                        ledger = ledger,
                        local = LocalCrashReports(settings.name, CrashCountingRegistry()),
                    ),
                    queue = FairShareQueue(),
                    limiter = ThroughputConcurrencyLimiter(),
                )
            },
        )

        /** The plain baselines that the chosen policies are measured against. */
        public fun baseline(settings: DaemonSettings): DaemonPolicies = DaemonPolicies(
            entry = { EntryPolicies() },
            sidecar = { SidecarPolicies(LocalCrashReports(settings.name)) },
        )
    }
}
