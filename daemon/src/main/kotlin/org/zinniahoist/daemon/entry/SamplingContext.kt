package org.zinniahoist.daemon.entry

import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.zinniahoist.daemon.control.GroupName
import org.zinniahoist.daemon.control.LedgerClient
import org.zinniahoist.daemon.timeline.EventRecorder
import org.zinniahoist.model.Group
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.SampleIdentifier
import org.zinniahoist.model.TrainingContract
import org.zinniahoist.model.Verdict
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.policy.sampling.SlotSupply
import org.zinniahoist.policy.sampling.StartSample
import org.zinniahoist.wire.RequestOrigin
import org.zinniahoist.wire.UpstreamCall
import java.util.UUID
import kotlin.time.Duration.Companion.minutes

/** Holds the dependencies that the samplers of all trainers of an entry share, and builds sample requests. */
internal class SamplingContext(
    val ledger: LedgerClient,
    val runner: RequestRunner,
    val policies: EntryPolicies,
    val events: EventRecorder,
    val clock: () -> Moment,
    private val links: SidecarLinks,
) {
    val slots = EngineSlots(links)

    fun group(contract: TrainingContract): String = GroupName.ledger(contract.homeRegion)

    /** Returns the newest weight version that an available engine of [model] serves, or null if none is known. */
    fun engineVersion(model: ModelName): WeightVersion? =
        links.reports(RouteTarget.Model(model)).mapNotNull { it.version }.maxOrNull()

    fun isSuccess(end: AttemptEvent.Ended): Boolean =
        end.verdict is Verdict.Completed && end.status < FIRST_ERROR_STATUS

    fun plan(
        contract: TrainingContract,
        sample: SampleIdentifier,
        group: Group,
        start: StartSample,
        remainingInGroup: Int,
    ): RequestPlan {
        val body = buildJsonObject {
            put("model", contract.model.value)
            put("prompt", group.prompt)
            put("max_tokens", group.maximumTokens)
            put("stream", true)
            put("seed", SampleCollector.seed(sample))
        }
        return RequestPlan(
            request = RequestIdentifier(UUID.randomUUID().toString()),
            target = RouteTarget.Model(contract.model),
            call = UpstreamCall(
                "POST",
                LiveService.COMPLETIONS_PATH,
                LiveService.JSON_MEDIA_TYPE,
                body.toString().toByteArray(),
            ),
            origin = RequestOrigin.Training(
                contract.trainer,
                contract.weight,
                "${sample.step}/${sample.group}",
                remainingInGroup,
                start.expectedTokens,
            ),
            deadline = clock() + SAMPLE_TIMEOUT,
            idempotent = true,
            completion = body,
            prefixHash = RequestPlan.prefixHash(group.prompt, PREFIX_BYTES).takeUnless { start.spread },
        )
    }

    private companion object {
        const val FIRST_ERROR_STATUS = 400
        const val PREFIX_BYTES = 1_024

        /** A step has to complete within 17 minutes. */
        val SAMPLE_TIMEOUT = 17.minutes
    }
}

/** Counts the engine slots, per model, that samples of this entry occupy. */
internal class EngineSlots(private val links: SidecarLinks) {
    private val inUse = HashMap<ModelName, Int>()

    @Synchronized
    fun tryAcquire(model: ModelName): Boolean {
        val limit = links.reports(RouteTarget.Model(model)).sumOf { it.concurrencyLimit }
        val count = inUse[model] ?: 0
        if (count >= limit) return false
        inUse[model] = count + 1
        return true
    }

    @Synchronized
    fun release(model: ModelName) {
        inUse.merge(model, -1, Int::plus)
    }

    /** Returns the slots left, including the one that the caller has just acquired. */
    @Synchronized
    fun supply(model: ModelName): SlotSupply {
        val reports = links.reports(RouteTarget.Model(model))
        val free = reports.sumOf { it.concurrencyLimit } - (inUse[model] ?: 0) + 1
        val idle = reports.sumOf { maxOf(0, it.concurrencyLimit - it.running - it.waiting) }
        return SlotSupply(free, minOf(free, idle), IDLE_TOKENS_PER_SECOND)
    }

    private companion object {
        /** Initial estimate of the generation rate of one attempt on an engine with idle slots. */
        const val IDLE_TOKENS_PER_SECOND = 50.0
    }
}
