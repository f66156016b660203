package org.zinniahoist.settings

import org.zinniahoist.model.CallerName
import org.zinniahoist.model.Contract
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Region
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.TrainerName
import org.zinniahoist.model.TrainingContract

/** Builds the typed settings from the values in force in a valid branch. */
internal class EffectiveBuilder(values: Map<String, EffectiveValue>) {
    private val reader = EffectiveReader(values)

    fun build(): EffectiveSettings = EffectiveSettings(
        routing = routing(),
        admission = admission(),
        limits =
        RequestLimits(
            bodySize = reader.value(TreeSchema.bodySize),
            defaultBudget = reader.value(TreeSchema.defaultBudget),
            maximumBudget = reader.value(TreeSchema.maximumBudget),
        ),
        retry = retry(),
        samples =
        SampleSettings(
            stalenessBound = integer(TreeSchema.stalenessBound),
            stalenessPreference = reader.value(TreeSchema.stalenessPreference),
            leaseTime = reader.value(TreeSchema.leaseTime),
        ),
        ledgerRetention = reader.value(TreeSchema.ledgerRetention),
        suspectRetention = reader.value(TreeSchema.suspectRetention),
        platformListAge = reader.value(TreeSchema.listAge),
        drainTimeBound = reader.value(TreeSchema.drainTime),
        trainers = reader.names("trainer").associate { TrainerName(it) to trainer(it) },
        callers = reader.names("caller").associate { CallerName(it) to caller(it) },
        models = reader.names("model").associate { ModelName(it) to model(it) },
    )

    private fun integer(key: SettingKey<Long>, name: String = ""): Int = reader.value(key, name).toInt()

    private fun routing(): RoutingSettings = RoutingSettings(
        subsetSize = integer(TreeSchema.subsetSize),
        choices = integer(TreeSchema.choices),
        ejectionShare = reader.value(TreeSchema.ejectionShare),
        ejectionFailures = integer(TreeSchema.ejectionFailures),
        ejectionTime = reader.value(TreeSchema.ejectionTime),
        affinityLoadBound = reader.value(TreeSchema.affinityBound),
        prefixLength = integer(TreeSchema.prefixLength),
        reportAge = reader.value(TreeSchema.reportAge),
    )

    private fun admission(): AdmissionSettings = AdmissionSettings(
        concurrency = integer(TreeSchema.concurrency),
        concurrencyMinimum = integer(TreeSchema.concurrencyMinimum),
        concurrencyMaximum = integer(TreeSchema.concurrencyMaximum),
        queueLength = integer(TreeSchema.queueLength),
        starvationBound = reader.value(TreeSchema.starvationBound),
        retryAfter = reader.value(TreeSchema.retryAfter),
    )

    private fun retry(): RetrySettings = RetrySettings(
        budget = reader.value(TreeSchema.retryBudget),
        attempts = integer(TreeSchema.attempts),
        backoff = reader.value(TreeSchema.backoff),
        hedge = reader.value(TreeSchema.hedge),
        hedgeDelay = reader.value(TreeSchema.hedgeDelay),
        hedgeShare = reader.value(TreeSchema.hedgeShare),
    )

    private fun trainer(name: String): TrainerTerms {
        val bound = reader.find(TreeSchema.trainerBound, name) ?: reader.value(TreeSchema.stalenessBound)
        val preference = reader.find(TreeSchema.trainerPreference, name)
        val contract =
            TrainingContract(
                trainer = TrainerName(name),
                homeRegion = Region(reader.value(TreeSchema.trainerRegion, name)),
                model = ModelName(reader.value(TreeSchema.trainerModel, name)),
                stalenessBound = bound.toInt(),
                weight = integer(TreeSchema.trainerWeight, name),
                stalenessPreference = preference ?: reader.value(TreeSchema.stalenessPreference),
            )
        return TrainerTerms(contract, reader.find(TreeSchema.trainerToken, name))
    }

    private fun caller(name: String): CallerTerms {
        val contract =
            Contract(
                caller = CallerName(name),
                homeRegion = Region(reader.value(TreeSchema.callerRegion, name)),
                maximumConcurrency = integer(TreeSchema.callerConcurrency, name),
                defaultBudget = reader.find(TreeSchema.callerBudget, name) ?: reader.value(TreeSchema.defaultBudget),
                nonIdempotentServices =
                reader.value(TreeSchema.callerServices, name).map { ServiceName(it) }.toSet(),
            )
        return CallerTerms(contract, reader.find(TreeSchema.callerToken, name))
    }

    private fun model(name: String): ModelSettings = ModelSettings(
        rolloutWave = reader.value(TreeSchema.rolloutWave, name),
        servingShare = reader.value(TreeSchema.servingShare, name),
        rolloutTime = reader.value(TreeSchema.rolloutTime, name),
        fanOut = integer(TreeSchema.fanOut, name),
        storeRate = reader.value(TreeSchema.storeRate, name),
    )
}
