package org.zinniahoist.settings

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Maximum share of candidates that may be ejected; with more, the remaining upstreams could not carry the load. */
private const val EJECTION_SHARE = 1.0 / 3

/** Schema of the keys that apply to a whole branch. */
internal object BranchKeys {
    val subsetSize =
        SettingKey("routing.subset-size", number(1L..10_000L, "upstreams"), "Upstreams that one entry routes to.", 64L)
    val choices =
        SettingKey("routing.choices", number(1L..8L), "Random candidates, of which the least loaded is taken.", 2L)
    val ejectionShare =
        SettingKey(
            "routing.ejection-share",
            KeyType.Fraction(0.0, EJECTION_SHARE),
            "Largest share of candidates that outlier ejection removes.",
            EJECTION_SHARE,
        )
    val ejectionFailures =
        SettingKey("routing.ejection-failures", number(1L..100L), "Failures in a row that eject an upstream.", 5L)
    val ejectionTime =
        SettingKey("routing.ejection-time", time(1.seconds, 10.minutes), "Length of the first ejection.", 30.seconds)
    val affinityBound =
        SettingKey(
            "routing.affinity-load-bound",
            KeyType.Fraction(1.0, 4.0),
            "Largest load relative to the mean at which prefix affinity still holds.",
            1.25,
        )
    val prefixLength =
        SettingKey(
            "routing.prefix-length",
            number(16L..65_536L, "bytes"),
            "Bytes of the prompt used as prefix.",
            1_024L,
        )
    val reportAge =
        SettingKey(
            "routing.report-age",
            time(100.milliseconds, 5.minutes),
            "Age at which a load report is ignored.",
            5.seconds,
        )

    val concurrency =
        SettingKey(
            "admission.concurrency",
            number(1L..100_000L, "requests"),
            "First in-flight limit of an upstream.",
            64L,
        )
    val concurrencyMinimum =
        SettingKey("admission.concurrency-minimum", number(1L..100_000L, "requests"), "Least in-flight limit.", 4L)
    val concurrencyMaximum =
        SettingKey("admission.concurrency-maximum", number(1L..100_000L, "requests"), "Largest in-flight limit.", 512L)
    val queueLength =
        SettingKey(
            "admission.queue-length",
            number(0L..1_000_000L, "requests"),
            "Requests that wait at a sidecar.",
            1_024L,
        )
    val starvationBound =
        SettingKey(
            "admission.starvation-bound",
            time(1.seconds, 30.minutes),
            "Wait after which a request of a trainer goes before newer requests of live callers.",
            30.seconds,
        )
    val retryAfter =
        SettingKey(
            "admission.retry-after",
            time(1.seconds, 5.minutes),
            "Retry-After of a refusal by overload.",
            1.seconds,
        )

    val bodySize =
        SettingKey(
            "limits.body-size",
            KeyType.Size(1_024, MAXIMUM_FRAME_BYTES),
            "Largest body of a request.",
            1_048_576L,
        )
    val defaultBudget =
        SettingKey(
            "limits.default-budget",
            time(100.milliseconds, 1.hours),
            "Time budget without a header.",
            60.seconds,
        )
    val maximumBudget =
        SettingKey("limits.maximum-budget", time(100.milliseconds, 1.hours), "Largest time budget.", 17.minutes)

    val retryBudget =
        SettingKey("retry.budget", KeyType.Fraction(0.0, 0.1), "Retries as a share of requests.", 0.1)
    val attempts =
        SettingKey("retry.attempts", number(1L..10L), "Attempts at one request, the first one included.", 3L)
    val backoff =
        SettingKey(
            "retry.backoff",
            time(Duration.ZERO, 10.seconds),
            "Mean wait before the first retry.",
            50.milliseconds,
        )
    val hedge = SettingKey("retry.hedge", KeyType.Switch, "Whether slow samples get a second attempt.", false)
    val hedgeDelay =
        SettingKey(
            "retry.hedge-delay",
            time(10.milliseconds, 10.minutes),
            "Wait before the second attempt.",
            10.seconds,
        )
    val hedgeShare =
        SettingKey("retry.hedge-share", KeyType.Fraction(0.0, 0.1), "Second attempts as a share of samples.", 0.03)

    val stalenessBound =
        SettingKey("staleness.bound", number(0L..1_000L, "versions"), "Largest staleness of a sample.", 1L)
    val stalenessPreference =
        SettingKey("staleness.preference", SHARE, "Weight of staleness (1) against idle time of the trainer (0).", 0.5)
    val leaseTime =
        SettingKey(
            "samples.lease-time",
            time(2.seconds, 5.minutes),
            "Length of a step lease without renewal.",
            10.seconds,
        )
    val ledgerRetention =
        SettingKey("ledger.retention", time(24.hours, 168.hours), "Time that idempotency keys are kept.", 24.hours)
    val suspectRetention =
        SettingKey("poison.retention", time(1.hours, 24.hours), "Time that a poison suspect is kept.", 1.hours)
    val listAge =
        SettingKey(
            "platform.list-age",
            time(1.seconds, 1.hours),
            "Age at which the platform's list is ignored.",
            1.minutes,
        )
    val drainTime =
        SettingKey("drain.time-bound", time(1.seconds, 2.hours), "Longest graceful shutdown.", 20.minutes)

    /** The keys, grouped by their first dot-separated segment. */
    val sections: List<SectionSchema> = listOf(
        SectionSchema(
            "routing",
            "Choice of an upstream by an entry.",
            listOf(
                subsetSize,
                choices,
                ejectionShare,
                ejectionFailures,
                ejectionTime,
                affinityBound,
                prefixLength,
                reportAge,
            ),
        ),
        SectionSchema(
            "admission",
            "Order and limit at the sidecar.",
            listOf(concurrency, concurrencyMinimum, concurrencyMaximum, queueLength, starvationBound, retryAfter),
        ),
        SectionSchema("limits", "Limits of requests.", listOf(bodySize, defaultBudget, maximumBudget)),
        SectionSchema(
            "retry",
            "Retries and hedging.",
            listOf(retryBudget, attempts, backoff, hedge, hedgeDelay, hedgeShare),
        ),
        SectionSchema("staleness", "Staleness of samples.", listOf(stalenessBound, stalenessPreference)),
        SectionSchema("samples", "Step leases.", listOf(leaseTime)),
        SectionSchema("ledger", "Idempotency keys.", listOf(ledgerRetention)),
        SectionSchema("poison", "Poison requests.", listOf(suspectRetention)),
        SectionSchema("platform", "The platform's list of instances.", listOf(listAge)),
        SectionSchema("drain", "Planned stops.", listOf(drainTime)),
    )
}
