package org.zinniahoist.settings

import kotlinx.serialization.Serializable
import org.zinniahoist.model.CallerName
import org.zinniahoist.model.Contract
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.TrainerName
import org.zinniahoist.model.TrainingContract
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Typed effective settings of one branch. The default values equal those of [TreeSchema]. */
@Serializable
public data class EffectiveSettings(
    public val routing: RoutingSettings = RoutingSettings(),
    public val admission: AdmissionSettings = AdmissionSettings(),
    public val limits: RequestLimits = RequestLimits(),
    public val retry: RetrySettings = RetrySettings(),
    public val samples: SampleSettings = SampleSettings(),
    /** Retention period of idempotency keys. */
    public val ledgerRetention: Duration = 24.hours,
    /** Retention period of a suspected poison request. */
    public val suspectRetention: Duration = 1.hours,
    /** Maximum age of the platform's list of instances; an older list is ignored. */
    public val platformListAge: Duration = 1.minutes,
    /** Maximum duration of a graceful shutdown. */
    public val drainTimeBound: Duration = 20.minutes,
    public val trainers: Map<TrainerName, TrainerTerms> = emptyMap(),
    public val callers: Map<CallerName, CallerTerms> = emptyMap(),
    public val models: Map<ModelName, ModelSettings> = emptyMap(),
) {
    public companion object {
        /** Converts the effective [values] of a branch to typed settings. */
        public fun of(values: Map<String, EffectiveValue>): EffectiveSettings = EffectiveBuilder(values).build()
    }
}

/** Load balancing of an entry across upstreams. */
@Serializable
public data class RoutingSettings(
    /** Number of upstreams in the subset that one entry routes to. */
    public val subsetSize: Int = 64,
    /** Number of random candidates, of which the least loaded is selected. */
    public val choices: Int = 2,
    /** Maximum share of candidates that outlier ejection removes. */
    public val ejectionShare: Double = 1.0 / 3,
    /** Consecutive failures after which an upstream is ejected. */
    public val ejectionFailures: Int = 5,
    public val ejectionTime: Duration = 30.seconds,
    /** Maximum load, relative to the mean, at which prefix affinity still applies. */
    public val affinityLoadBound: Double = 1.25,
    /** Length of the prompt prefix used for affinity, in bytes. */
    public val prefixLength: Int = 1_024,
    /** Maximum age of a load report; an older report is ignored. */
    public val reportAge: Duration = 5.seconds,
)

/** Admission control of a sidecar: concurrency limit and queue; counts are in requests. */
@Serializable
public data class AdmissionSettings(
    public val concurrency: Int = 64,
    public val concurrencyMinimum: Int = 4,
    public val concurrencyMaximum: Int = 512,
    public val queueLength: Int = 1_024,
    /** Queue time after which a request of a trainer takes precedence over newer requests of live callers. */
    public val starvationBound: Duration = 30.seconds,
    public val retryAfter: Duration = 1.seconds,
)

/** Limits on the body size and time budget of requests. */
@Serializable
public data class RequestLimits(
    /** Maximum size of a request body, in bytes. */
    public val bodySize: Long = 1_048_576,
    public val defaultBudget: Duration = 60.seconds,
    public val maximumBudget: Duration = 17.minutes,
)

/** Retries and hedging; [budget] and [hedgeShare] are fractions of the number of requests. */
@Serializable
public data class RetrySettings(
    public val budget: Double = 0.1,
    public val attempts: Int = 3,
    public val backoff: Duration = 50.milliseconds,
    public val hedge: Boolean = false,
    public val hedgeDelay: Duration = 10.seconds,
    public val hedgeShare: Double = 0.03,
)

/** Staleness and leases of samples. */
@Serializable
public data class SampleSettings(
    /** Maximum staleness of a sample, in weight versions. */
    public val stalenessBound: Int = 1,
    /** Trade-off between low staleness (1) and low idle time of the trainer (0). */
    public val stalenessPreference: Double = 0.5,
    public val leaseTime: Duration = 10.seconds,
)

/** Contract of a trainer and the SHA-256 digest of its bearer token; a trainer without a token has no access. */
@Serializable
public data class TrainerTerms(
    public val contract: TrainingContract,
    public val tokenHash: String? = null,
)

/** Contract of a caller and the SHA-256 digest of its bearer token; a caller without a token has no access. */
@Serializable
public data class CallerTerms(
    public val contract: Contract,
    public val tokenHash: String? = null,
)

/** Rollout settings of the weight versions of a model. */
@Serializable
public data class ModelSettings(
    /** Maximum share of the engines that load a version concurrently. */
    public val rolloutWave: Double = 0.25,
    /** Minimum share of the engines that keep serving during a rollout. */
    public val servingShare: Double = 0.5,
    /** Time within which a rollout reaches all engines. */
    public val rolloutTime: Duration = 14.seconds,
    /** Number of sidecars that one sidecar forwards weights to. */
    public val fanOut: Int = 2,
    /** Total read rate of all sidecars from the weight store, in bytes per second. */
    public val storeRate: Long = 1L shl 30,
)
