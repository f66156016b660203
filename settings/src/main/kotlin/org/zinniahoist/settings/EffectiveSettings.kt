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

/** The settings in force in one branch. The defaults are those of [TreeSchema]. */
@Serializable
public data class EffectiveSettings(
    public val routing: RoutingSettings = RoutingSettings(),
    public val admission: AdmissionSettings = AdmissionSettings(),
    public val limits: RequestLimits = RequestLimits(),
    public val retry: RetrySettings = RetrySettings(),
    public val samples: SampleSettings = SampleSettings(),
    /** Time that idempotency keys are kept. */
    public val ledgerRetention: Duration = 24.hours,
    /** Time that a poison suspect is kept. */
    public val suspectRetention: Duration = 1.hours,
    /** Age at which the platform's list is ignored. */
    public val platformListAge: Duration = 1.minutes,
    /** Longest graceful shutdown. */
    public val drainTimeBound: Duration = 20.minutes,
    public val trainers: Map<TrainerName, TrainerTerms> = emptyMap(),
    public val callers: Map<CallerName, CallerTerms> = emptyMap(),
    public val models: Map<ModelName, ModelSettings> = emptyMap(),
) {
    public companion object {
        /** Returns the typed form of the [values] in force in a branch. */
        public fun of(values: Map<String, EffectiveValue>): EffectiveSettings = EffectiveBuilder(values).build()
    }
}

/** Choice of an upstream by an entry. */
@Serializable
public data class RoutingSettings(
    /** Upstreams that one entry routes to. */
    public val subsetSize: Int = 64,
    /** Random candidates, of which the least loaded is taken. */
    public val choices: Int = 2,
    /** Largest share of candidates that outlier ejection removes. */
    public val ejectionShare: Double = 1.0 / 3,
    /** Failures in a row that eject an upstream. */
    public val ejectionFailures: Int = 5,
    public val ejectionTime: Duration = 30.seconds,
    /** Largest load relative to the mean at which prefix affinity still holds. */
    public val affinityLoadBound: Double = 1.25,
    /** Bytes of the prompt used as prefix. */
    public val prefixLength: Int = 1_024,
    /** Age at which a load report is ignored. */
    public val reportAge: Duration = 5.seconds,
)

/** Order and limit at the sidecar; counts are in requests. */
@Serializable
public data class AdmissionSettings(
    public val concurrency: Int = 64,
    public val concurrencyMinimum: Int = 4,
    public val concurrencyMaximum: Int = 512,
    public val queueLength: Int = 1_024,
    /** Wait after which a request of a trainer goes before newer requests of live callers. */
    public val starvationBound: Duration = 30.seconds,
    public val retryAfter: Duration = 1.seconds,
)

/** Limits of requests. */
@Serializable
public data class RequestLimits(
    /** Largest body of a request, in bytes. */
    public val bodySize: Long = 1_048_576,
    public val defaultBudget: Duration = 60.seconds,
    public val maximumBudget: Duration = 17.minutes,
)

/** Retries and hedging; shares are relative to requests. */
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
    /** Largest staleness of a sample, in versions. */
    public val stalenessBound: Int = 1,
    /** Weight of staleness (1) against idle time of the trainer (0). */
    public val stalenessPreference: Double = 0.5,
    public val leaseTime: Duration = 10.seconds,
)

/** Contract of a trainer and the SHA-256 of its token; without one it has no access. */
@Serializable
public data class TrainerTerms(
    public val contract: TrainingContract,
    public val tokenHash: String? = null,
)

/** Contract of a caller and the SHA-256 of its token; without one it has no access. */
@Serializable
public data class CallerTerms(
    public val contract: Contract,
    public val tokenHash: String? = null,
)

/** Pace of the rollouts of a model. */
@Serializable
public data class ModelSettings(
    /** Share of the engines that load at once. */
    public val rolloutWave: Double = 0.25,
    /** Least share of the engines that serve during a rollout. */
    public val servingShare: Double = 0.5,
    /** Time in which a version is on all engines. */
    public val rolloutTime: Duration = 14.seconds,
    /** Sidecars that one sidecar gives weights to. */
    public val fanOut: Int = 2,
    /** Bytes a second read from the weight store by all sidecars. */
    public val storeRate: Long = 1L shl 30,
)
