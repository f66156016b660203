package org.zinniahoist.experiment.virtual

import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.Region
import org.zinniahoist.policy.staleness.StalenessSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** One of the two deployments of the design page. */
internal enum class Deployment(
    region: String,
    val domainLatency: Duration,
    val terms: StalenessSettings,
) {
    HRUBEC("cz-central", 500.microseconds, StalenessSettings(bound = 2, preference = 0.2)),
    CONCORDIA("mx-centro", 1_400.microseconds, StalenessSettings(bound = 1, preference = 0.8)),
    ;

    val domains = List(Sizes.DOMAINS) { FailureDomain("$region-${'a' + it}", Region(region)) }
    val clientLatency = 3.milliseconds
}

/** What happens in a run. */
internal enum class Scenario(
    val lengthDeviation: Double = 0.5,
    val trainingTime: Duration = 120.seconds,
    val groups: Int = 96,
    val burst: Boolean = false,
) {
    STEADY,
    BURST(burst = true),
    HEAVY_TAIL(lengthDeviation = 1.2),
    FREQUENT_WEIGHTS(trainingTime = 30.seconds, groups = 24),
    ENGINE_CRASH,
    SILENT_LINK,
    FAILURE_DOMAIN_CUT,
    ;

    val label: String = name.lowercase().replace('_', '-')
}

/** Sizes that all scenarios share. */
internal object Sizes {
    const val DOMAINS = 3
    const val SAMPLERS = 6
    const val TRAINERS = 2
    const val SAMPLES_PER_GROUP = 8
    const val MEAN_SAMPLE_TOKENS = 1_000.0
    const val MAXIMUM_SAMPLE_TOKENS = 8_192
    const val SAMPLE_PROMPT_TOKENS = 1_000
    const val LIVE_PROMPT_TOKENS = 300
    const val LIVE_PREFIXES = 4
    const val MEAN_LIVE_TOKENS = 120.0
    const val LIVE_REQUESTS_PER_SECOND = 6.0
    const val BURST_FACTOR = 5.0
    const val FAULT_START_SECONDS = 300
    val liveBudget = 60.seconds
    val sampleBudget = 15.minutes
    val weightHop = 1_600.milliseconds
    val weightSwap = 1.seconds
}
