package org.zinniahoist.settings

import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Schema of the keys of trainers, callers and models. */
internal object ContractKeys {
    val trainerModel =
        SettingKey("trainer.*.model", KeyType.Name, "Model that the trainer trains; a declared model.", required = true)
    val trainerRegion =
        SettingKey("trainer.*.home-region", KeyType.Name, "Region of the trainer's ledger.", required = true)
    val trainerWeight =
        SettingKey("trainer.*.weight", number(1L..1_000L), "Share of engine time relative to other trainers.", 1L)
    val trainerBound =
        SettingKey(
            "trainer.*.staleness-bound",
            number(0L..1_000L, "versions"),
            "Largest staleness; absent: staleness.bound.",
        )
    val trainerPreference =
        SettingKey(
            "trainer.*.staleness-preference",
            SHARE,
            "Staleness (1) against idle time (0); absent: staleness.preference.",
        )
    val trainerToken =
        SettingKey("trainer.*.token-hash", KeyType.Digest, "SHA-256 of the bearer token; absent: no access.")

    val callerRegion =
        SettingKey("caller.*.home-region", KeyType.Name, "Region of the caller's ledger.", required = true)
    val callerConcurrency =
        SettingKey("caller.*.concurrency", number(1L..1_000_000L, "requests"), "Requests of the caller in flight.", 64L)
    val callerBudget =
        SettingKey(
            "caller.*.budget",
            time(100.milliseconds, 1.hours),
            "Time budget without a header; absent: limits.default-budget.",
        )
    val callerServices =
        SettingKey(
            "caller.*.non-idempotent-services",
            KeyType.NameSet,
            "Plain services whose calls run at most once.",
            emptySet(),
        )
    val callerToken =
        SettingKey("caller.*.token-hash", KeyType.Digest, "SHA-256 of the bearer token; absent: no access.")

    val rolloutWave =
        SettingKey("model.*.rollout-wave", KeyType.Fraction(0.01, 1.0), "Share of the engines that load at once.", 0.25)
    val servingShare =
        SettingKey("model.*.serving-share", SHARE, "Least share of the engines that serve during a rollout.", 0.5)
    val rolloutTime =
        SettingKey(
            "model.*.rollout-time",
            time(1.seconds, 1.hours),
            "Time in which a version is on all engines.",
            14.seconds,
        )
    val fanOut =
        SettingKey("model.*.fan-out", number(1L..16L), "Sidecars that one sidecar gives weights to.", 2L)
    val storeRate =
        SettingKey(
            "model.*.store-rate",
            KeyType.Size(1_024, 1L shl 40),
            "Bytes a second that all sidecars together read from the weight store.",
            1L shl 30,
        )

    /** The keys, grouped by their first dot-separated segment. */
    val sections: List<SectionSchema> = listOf(
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
}
