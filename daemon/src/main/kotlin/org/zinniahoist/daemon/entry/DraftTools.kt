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

/** What the work for all trainers of an entry shares. */
internal class DraftTools(
    val ledger: LedgerClient,
    val runner: RequestRunner,
    val policies: EntryPolicies,
    val events: EventRecorder,
    val clock: () -> Moment,
    private val links: SidecarLinks,
) {
    val slots = EngineSlots(links)

    fun group(contract: TrainingContract): String = GroupName.ledger(contract.homeRegion)

    /** Newest version that an engine of [model] serves. */
    fun engineVersion(model: ModelName): WeightVersion? =
        links.reports(RouteTarget.Model(model)).mapNotNull { it.version }.maxOrNull()

    fun isAnswer(end: AttemptEvent.Ended): Boolean = end.verdict is Verdict.Completed && end.status < FIRST_ERROR

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
            put("seed", SampleDraft.seed(sample))
        }
        return RequestPlan(
            request = RequestIdentifier(UUID.randomUUID().toString()),
            target = RouteTarget.Model(contract.model),
            call = UpstreamCall("POST", LiveService.COMPLETIONS, LiveService.JSON_TYPE, body.toString().toByteArray()),
            origin = RequestOrigin.Training(
                contract.trainer,
                contract.weight,
                "${sample.step}/${sample.group}",
                remainingInGroup,
                start.expectedTokens,
            ),
            deadline = clock() + SAMPLE_BUDGET,
            idempotent = true,
            completion = body,
            prefixHash = RequestPlan.prefixHash(group.prompt, PREFIX_BYTES).takeUnless { start.spread },
        )
    }

    private companion object {
        const val FIRST_ERROR = 400
        const val PREFIX_BYTES = 1_024

        /** A step is whole within 17 minutes. */
        val SAMPLE_BUDGET = 17.minutes
    }
}

/** Slots of the engines that this entry's drafts take. */
internal class EngineSlots(private val links: SidecarLinks) {
    private val taken = HashMap<ModelName, Int>()

    @Synchronized
    fun tryTake(model: ModelName): Boolean {
        val limit = links.reports(RouteTarget.Model(model)).sumOf { it.concurrencyLimit }
        val count = taken[model] ?: 0
        if (count >= limit) return false
        taken[model] = count + 1
        return true
    }

    @Synchronized
    fun release(model: ModelName) {
        taken.merge(model, -1, Int::plus)
    }

    /** What is left for the draft whose slot was just taken and those after it. */
    @Synchronized
    fun supply(model: ModelName): SlotSupply {
        val reports = links.reports(RouteTarget.Model(model))
        val free = reports.sumOf { it.concurrencyLimit } - (taken[model] ?: 0) + 1
        val idle = reports.sumOf { maxOf(0, it.concurrencyLimit - it.running - it.waiting) }
        return SlotSupply(free, minOf(free, idle), IDLE_PACE)
    }

    private companion object {
        /** Tokens per second of one attempt on an engine with idle slots, for the first estimate of a deadline. */
        const val IDLE_PACE = 50.0
    }
}
