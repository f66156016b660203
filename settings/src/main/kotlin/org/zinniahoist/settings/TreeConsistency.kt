package org.zinniahoist.settings

import org.zinniahoist.model.BranchName

/** Checks the effective [values] of [branch] for consistency and returns the errors. */
internal fun consistencyErrors(branch: BranchName, values: Map<String, EffectiveValue>): List<EditError> =
    ConsistencyChecker(branch, values).check()

private class ConsistencyChecker(
    private val branch: BranchName,
    private val values: Map<String, EffectiveValue>,
) {
    private val reader = EffectiveReader(values)
    private val errors = mutableListOf<EditError>()

    fun check(): List<EditError> {
        checkConcurrency()
        if (reader.value(BranchKeys.defaultBudget) > reader.value(BranchKeys.maximumBudget)) {
            reject(BranchKeys.defaultBudget.name, "at most limits.maximum-budget: ${text(BranchKeys.maximumBudget)}")
        }
        TreeSchema.groups.forEach { checkRequired(it) }
        checkTrainers()
        checkCallers()
        checkModels()
        checkTokens()
        return errors
    }

    private fun checkConcurrency() {
        val minimum = reader.value(BranchKeys.concurrencyMinimum)
        val maximum = reader.value(BranchKeys.concurrencyMaximum)
        if (minimum > maximum) {
            reject(BranchKeys.concurrencyMinimum.name, "at most admission.concurrency-maximum: $maximum")
        } else if (reader.value(BranchKeys.concurrency) !in minimum..maximum) {
            reject(
                BranchKeys.concurrency.name,
                "from admission.concurrency-minimum to admission.concurrency-maximum: $minimum to $maximum",
            )
        }
    }

    private fun checkRequired(group: SectionSchema) {
        group.keys.filter { it.required }.forEach { key ->
            reader.names(group.name).map { key.name.replace("*", it) }.filter { it !in values }.forEach {
                errors += EditError.MissingKey(branch, it, key.type.allowed)
            }
        }
    }

    private fun checkTrainers() {
        val models = reader.names("model")
        reader.names("trainer").forEach { trainer ->
            val model = reader.find(ContractKeys.trainerModel, trainer)
            if (model != null && model !in models) {
                reject("trainer.$trainer.model", "a declared model: ${models.joinToString(", ").ifEmpty { "none" }}")
            }
        }
    }

    private fun checkCallers() {
        val maximum = reader.value(BranchKeys.maximumBudget)
        reader.names("caller").forEach { caller ->
            val budget = reader.find(ContractKeys.callerBudget, caller)
            if (budget != null && budget > maximum) {
                reject("caller.$caller.budget", "at most limits.maximum-budget: $maximum")
            }
        }
    }

    private fun checkModels() {
        reader.names("model").forEach { model ->
            val wave = reader.value(ContractKeys.rolloutWave, model)
            val serving = reader.value(ContractKeys.servingShare, model)
            if (wave + serving > 1) {
                reject("model.$model.rollout-wave", "together with model.$model.serving-share ($serving) at most 1.0")
            }
        }
    }

    /** Rejects duplicate token hashes, because a shared token does not identify its holder. */
    private fun checkTokens() {
        val owners = values.filterKeys { it.endsWith(".token-hash") }.entries.groupBy { it.value.value }
        owners.values.filter { it.size > 1 }.forEach { same ->
            reject(same.last().key, "another token than ${same.first().key}")
        }
    }

    private fun reject(key: String, allowed: String) {
        errors += EditError.Inconsistent(branch, key, values[key]?.value.orEmpty(), allowed)
    }

    private fun text(key: SettingKey<*>): String = values.getValue(key.name).value
}
