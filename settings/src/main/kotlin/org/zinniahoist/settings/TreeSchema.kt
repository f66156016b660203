package org.zinniahoist.settings

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val SHARE = KeyType.Fraction(0.0, 1.0)

/** Outlier ejection never removes more; the rest could not carry the load. */
private const val EJECTION_SHARE = 1.0 / 3

private fun number(range: LongRange, unit: String? = null) = KeyType.WholeNumber(range, unit)

private fun time(minimum: Duration, maximum: Duration) = KeyType.Time(minimum, maximum)

/** Declares the keys of the settings tree. */
public object TreeSchema {
    internal val subsetSize =
        SettingKey("routing.subset-size", number(1L..10_000L, "upstreams"), "Upstreams that one entry routes to.", 64L)
    internal val choices =
        SettingKey("routing.choices", number(1L..8L), "Random candidates, of which the least loaded is taken.", 2L)
    internal val ejectionShare =
        SettingKey(
            "routing.ejection-share",
            KeyType.Fraction(0.0, EJECTION_SHARE),
            "Largest share of candidates that outlier ejection removes.",
            EJECTION_SHARE,
        )
    internal val ejectionFailures =
        SettingKey("routing.ejection-failures", number(1L..100L), "Failures in a row that eject an upstream.", 5L)
    internal val ejectionTime =
        SettingKey("routing.ejection-time", time(1.seconds, 10.minutes), "Length of the first ejection.", 30.seconds)
    internal val affinityBound =
        SettingKey(
            "routing.affinity-load-bound",
            KeyType.Fraction(1.0, 4.0),
            "Largest load relative to the mean at which prefix affinity still holds.",
            1.25,
        )
    internal val prefixLength =
        SettingKey(
            "routing.prefix-length",
            number(16L..65_536L, "bytes"),
            "Bytes of the prompt used as prefix.",
            1_024L,
        )
    internal val reportAge =
        SettingKey(
            "routing.report-age",
            time(100.milliseconds, 5.minutes),
            "Age at which a load report is ignored.",
            5.seconds,
        )

    internal val concurrency =
        SettingKey(
            "admission.concurrency",
            number(1L..100_000L, "requests"),
            "First in-flight limit of an upstream.",
            64L,
        )
    internal val concurrencyMinimum =
        SettingKey("admission.concurrency-minimum", number(1L..100_000L, "requests"), "Least in-flight limit.", 4L)
    internal val concurrencyMaximum =
        SettingKey("admission.concurrency-maximum", number(1L..100_000L, "requests"), "Largest in-flight limit.", 512L)
    internal val queueLength =
        SettingKey(
            "admission.queue-length",
            number(0L..1_000_000L, "requests"),
            "Requests that wait at a sidecar.",
            1_024L,
        )
    internal val starvationBound =
        SettingKey(
            "admission.starvation-bound",
            time(1.seconds, 30.minutes),
            "Wait after which a request of a trainer goes before newer requests of live callers.",
            30.seconds,
        )
    internal val retryAfter =
        SettingKey(
            "admission.retry-after",
            time(1.seconds, 5.minutes),
            "Retry-After of a refusal by overload.",
            1.seconds,
        )

    internal val bodySize =
        SettingKey(
            "limits.body-size",
            KeyType.Size(1_024, MAXIMUM_FRAME_BYTES),
            "Largest body of a request.",
            1_048_576L,
        )
    internal val defaultBudget =
        SettingKey(
            "limits.default-budget",
            time(100.milliseconds, 1.hours),
            "Time budget without a header.",
            60.seconds,
        )
    internal val maximumBudget =
        SettingKey("limits.maximum-budget", time(100.milliseconds, 1.hours), "Largest time budget.", 17.minutes)

    internal val retryBudget =
        SettingKey("retry.budget", KeyType.Fraction(0.0, 0.1), "Retries as a share of requests.", 0.1)
    internal val attempts =
        SettingKey("retry.attempts", number(1L..10L), "Attempts at one request, the first one included.", 3L)
    internal val backoff =
        SettingKey(
            "retry.backoff",
            time(Duration.ZERO, 10.seconds),
            "Mean wait before the first retry.",
            50.milliseconds,
        )
    internal val hedge = SettingKey("retry.hedge", KeyType.Switch, "Whether slow samples get a second attempt.", false)
    internal val hedgeDelay =
        SettingKey(
            "retry.hedge-delay",
            time(10.milliseconds, 10.minutes),
            "Wait before the second attempt.",
            10.seconds,
        )
    internal val hedgeShare =
        SettingKey("retry.hedge-share", KeyType.Fraction(0.0, 0.1), "Second attempts as a share of samples.", 0.03)

    internal val stalenessBound =
        SettingKey("staleness.bound", number(0L..1_000L, "versions"), "Largest staleness of a sample.", 1L)
    internal val stalenessPreference =
        SettingKey("staleness.preference", SHARE, "Weight of staleness (1) against idle time of the trainer (0).", 0.5)
    internal val leaseTime =
        SettingKey(
            "samples.lease-time",
            time(2.seconds, 5.minutes),
            "Length of a step lease without renewal.",
            10.seconds,
        )
    internal val ledgerRetention =
        SettingKey("ledger.retention", time(24.hours, 168.hours), "Time that idempotency keys are kept.", 24.hours)
    internal val suspectRetention =
        SettingKey("poison.retention", time(1.hours, 24.hours), "Time that a poison suspect is kept.", 1.hours)
    internal val listAge =
        SettingKey(
            "platform.list-age",
            time(1.seconds, 1.hours),
            "Age at which the platform's list is ignored.",
            1.minutes,
        )
    internal val drainTime =
        SettingKey("drain.time-bound", time(1.seconds, 2.hours), "Longest graceful shutdown.", 20.minutes)

    internal val trainerModel =
        SettingKey("trainer.*.model", KeyType.Name, "Model that the trainer trains; a declared model.", required = true)
    internal val trainerRegion =
        SettingKey("trainer.*.home-region", KeyType.Name, "Region of the trainer's ledger.", required = true)
    internal val trainerWeight =
        SettingKey("trainer.*.weight", number(1L..1_000L), "Share of engine time relative to other trainers.", 1L)
    internal val trainerBound =
        SettingKey(
            "trainer.*.staleness-bound",
            number(0L..1_000L, "versions"),
            "Largest staleness; absent: staleness.bound.",
        )
    internal val trainerPreference =
        SettingKey(
            "trainer.*.staleness-preference",
            SHARE,
            "Staleness (1) against idle time (0); absent: staleness.preference.",
        )
    internal val trainerToken =
        SettingKey("trainer.*.token-hash", KeyType.Digest, "SHA-256 of the bearer token; absent: no access.")

    internal val callerRegion =
        SettingKey("caller.*.home-region", KeyType.Name, "Region of the caller's ledger.", required = true)
    internal val callerConcurrency =
        SettingKey("caller.*.concurrency", number(1L..1_000_000L, "requests"), "Requests of the caller in flight.", 64L)
    internal val callerBudget =
        SettingKey(
            "caller.*.budget",
            time(100.milliseconds, 1.hours),
            "Time budget without a header; absent: limits.default-budget.",
        )
    internal val callerServices =
        SettingKey(
            "caller.*.non-idempotent-services",
            KeyType.NameSet,
            "Plain services whose calls run at most once.",
            emptySet(),
        )
    internal val callerToken =
        SettingKey("caller.*.token-hash", KeyType.Digest, "SHA-256 of the bearer token; absent: no access.")

    internal val rolloutWave =
        SettingKey("model.*.rollout-wave", KeyType.Fraction(0.01, 1.0), "Share of the engines that load at once.", 0.25)
    internal val servingShare =
        SettingKey("model.*.serving-share", SHARE, "Least share of the engines that serve during a rollout.", 0.5)
    internal val rolloutTime =
        SettingKey(
            "model.*.rollout-time",
            time(1.seconds, 1.hours),
            "Time in which a version is on all engines.",
            14.seconds,
        )
    internal val fanOut =
        SettingKey("model.*.fan-out", number(1L..16L), "Sidecars that one sidecar gives weights to.", 2L)
    internal val storeRate =
        SettingKey(
            "model.*.store-rate",
            KeyType.Size(1_024, 1L shl 40),
            "Bytes a second that all sidecars together read from the weight store.",
            1L shl 30,
        )

    /** All keys, grouped by the word before the first dot, in the order of the reference. */
    public val groups: List<SectionSchema> =
        listOf(
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
            SectionSchema(
                "trainer",
                "Contract of a trainer.",
                listOf(trainerModel, trainerRegion, trainerWeight, trainerBound, trainerPreference, trainerToken),
            ),
            SectionSchema(
                "caller",
                "Contract of a caller.",
                listOf(callerRegion, callerConcurrency, callerBudget, callerServices, callerToken),
            ),
            SectionSchema(
                "model",
                "Declaration of a model and the pace of its rollouts.",
                listOf(rolloutWave, servingShare, rolloutTime, fanOut, storeRate),
            ),
        )

    /** All keys by their names; the names of families have a `*`. */
    public val keys: Map<String, SettingKey<*>> = groups.flatMap { it.keys }.associateBy { it.name }

    /** Returns the key that [name] is, or null if the schema has none. */
    public fun find(name: String): SettingKey<*>? {
        keys[name]?.let { return it.takeUnless { '*' in name } }
        val parts = name.split('.')
        if (parts.size != FAMILY_PARTS || KeyType.Name.parse(parts[1]) == null) return null
        return keys["${parts[0]}.*.${parts[2]}"]
    }

    /** Returns the known key nearest to the unknown [name], or null; a family's malformed name has no suggestion. */
    internal fun suggest(name: String): String? {
        val parts = name.split('.')
        val known = if (parts.size == FAMILY_PARTS) keys.keys.map { it.replace("*", parts[1]) } else keys.keys
        return suggestionFor(name, known).takeIf { it != name }
    }

    private const val FAMILY_PARTS = 3
}
