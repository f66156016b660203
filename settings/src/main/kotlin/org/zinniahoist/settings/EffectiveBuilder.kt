package org.zinniahoist.settings

import org.zinniahoist.model.CallerName
import org.zinniahoist.model.Contract
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Region
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.TrainerName
import org.zinniahoist.model.TrainingContract

/** Builds typed settings from the effective values of a validated branch. */
internal class EffectiveBuilder(values: Map<String, EffectiveValue>) {
    private val reader = EffectiveReader(values)

    fun build(): EffectiveSettings = EffectiveSettings(
        routing = routing(),
        admission = admission(),
        limits =
        RequestLimits(
            bodySize = reader.value(BranchKeys.bodySize),
            defaultBudget = reader.value(BranchKeys.defaultBudget),
            maximumBudget = reader.value(BranchKeys.maximumBudget),
        ),
        retry = retry(),
        samples =
        SampleSettings(
            stalenessBound = integer(BranchKeys.stalenessBound),
            stalenessPreference = reader.value(BranchKeys.stalenessPreference),
            leaseTime = reader.value(BranchKeys.leaseTime),
        ),
        ledgerRetention = reader.value(BranchKeys.ledgerRetention),
        suspectRetention = reader.value(BranchKeys.suspectRetention),
        platformListAge = reader.value(BranchKeys.listAge),
        drainTimeBound = reader.value(BranchKeys.drainTime),
        trainers = reader.names("trainer").associate { TrainerName(it) to trainer(it) },
        callers = reader.names("caller").associate { CallerName(it) to caller(it) },
        models = reader.names("model").associate { ModelName(it) to model(it) },
    )

    private fun integer(key: SettingKey<Long>, name: String = ""): Int = reader.value(key, name).toInt()

    private fun routing(): RoutingSettings = RoutingSettings(
        subsetSize = integer(BranchKeys.subsetSize),
        choices = integer(BranchKeys.choices),
        ejectionShare = reader.value(BranchKeys.ejectionShare),
        ejectionFailures = integer(BranchKeys.ejectionFailures),
        ejectionTime = reader.value(BranchKeys.ejectionTime),
        affinityLoadBound = reader.value(BranchKeys.affinityBound),
        prefixLength = integer(BranchKeys.prefixLength),
        reportAge = reader.value(BranchKeys.reportAge),
    )

    private fun admission(): AdmissionSettings = AdmissionSettings(
        concurrency = integer(BranchKeys.concurrency),
        concurrencyMinimum = integer(BranchKeys.concurrencyMinimum),
        concurrencyMaximum = integer(BranchKeys.concurrencyMaximum),
        queueLength = integer(BranchKeys.queueLength),
        starvationBound = reader.value(BranchKeys.starvationBound),
        retryAfter = reader.value(BranchKeys.retryAfter),
    )

    private fun retry(): RetrySettings = RetrySettings(
        budget = reader.value(BranchKeys.retryBudget),
        attempts = integer(BranchKeys.attempts),
        backoff = reader.value(BranchKeys.backoff),
        hedge = reader.value(BranchKeys.hedge),
        hedgeDelay = reader.value(BranchKeys.hedgeDelay),
        hedgeShare = reader.value(BranchKeys.hedgeShare),
    )

    private fun trainer(name: String): TrainerTerms {
        val bound = reader.find(ContractKeys.trainerBound, name) ?: reader.value(BranchKeys.stalenessBound)
        val preference = reader.find(ContractKeys.trainerPreference, name)
        val contract =
            TrainingContract(
                trainer = TrainerName(name),
                homeRegion = Region(reader.value(ContractKeys.trainerRegion, name)),
                model = ModelName(reader.value(ContractKeys.trainerModel, name)),
                stalenessBound = bound.toInt(),
                weight = integer(ContractKeys.trainerWeight, name),
                stalenessPreference = preference ?: reader.value(BranchKeys.stalenessPreference),
            )
        return TrainerTerms(contract, reader.find(ContractKeys.trainerToken, name))
    }

    private fun caller(name: String): CallerTerms {
        val contract =
            Contract(
                caller = CallerName(name),
                homeRegion = Region(reader.value(ContractKeys.callerRegion, name)),
                maximumConcurrency = integer(ContractKeys.callerConcurrency, name),
                defaultBudget = reader.find(ContractKeys.callerBudget, name) ?: reader.value(BranchKeys.defaultBudget),
                nonIdempotentServices =
                reader.value(ContractKeys.callerServices, name).map { ServiceName(it) }.toSet(),
            )
        return CallerTerms(contract, reader.find(ContractKeys.callerToken, name))
    }

    private fun model(name: String): ModelSettings = ModelSettings(
        rolloutWave = reader.value(ContractKeys.rolloutWave, name),
        servingShare = reader.value(ContractKeys.servingShare, name),
        rolloutTime = reader.value(ContractKeys.rolloutTime, name),
        fanOut = integer(ContractKeys.fanOut, name),
        storeRate = reader.value(ContractKeys.storeRate, name),
    )
}
