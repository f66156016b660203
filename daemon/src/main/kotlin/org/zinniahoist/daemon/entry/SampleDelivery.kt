package org.zinniahoist.daemon.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.zinniahoist.daemon.control.ControlFailure
import org.zinniahoist.policy.staleness.DeliveryDecision
import org.zinniahoist.policy.staleness.StalenessSettings
import org.zinniahoist.state.ledger.LedgerAnswer
import org.zinniahoist.state.ledger.LedgerCommand
import org.zinniahoist.state.ledger.LedgerQuery
import org.zinniahoist.state.samples.Deliverable

/** Delivers the samples that the sampler has generated to its trainer. */
internal class SampleDelivery(
    private val sampler: TrainerSampler,
    private val context: SamplingContext,
) {
    private val contract = sampler.contract
    private val group = context.group(contract)
    private val terms = StalenessSettings(contract.stalenessBound, contract.stalenessPreference)

    /**
     * Waits for samples after the cursor and returns them as JSON, or null if the lease was lost or is held under
     * another fencing token. Discards and regenerates samples that are too stale or whose text this entry lacks.
     */
    suspend fun fetch(request: TrainerRequest.Fetch): Either<ControlFailure, String?> {
        val deadline = context.clock() + request.wait
        request.version?.let { version ->
            val failure = context.ledger.command(
                group,
                LedgerCommand.AnnounceVersion(contract.trainer, version),
            ).leftOrNull()
            if (failure != null) return failure.left()
            sampler.onVersion(version)
        }
        val after = request.cursor?.takeIf { it.token == sampler.token.value }?.position ?: 0
        while (true) {
            val seen = sampler.changes.value
            val read = LedgerQuery.ReadDeliverable(contract.trainer, sampler.token)
            val answer = context.ledger.query(group, read).fold({ return it.left() }, { it })
            val deliverable = (answer as? LedgerAnswer.Deliverables)?.deliverable
            if (deliverable == null || sampler.leaseLost) return null.right()
            val samples = confirmed(deliverable).filter { it.position > after }.sortedBy { it.position }
            val remaining = deadline - context.clock()
            if (samples.isNotEmpty() || deliverable.remaining == 0 || !remaining.isPositive()) {
                return json(samples.take(request.limit), after, deliverable.remaining).right()
            }
            withTimeoutOrNull(remaining) { sampler.changes.first { it != seen } }
        }
    }

    private suspend fun confirmed(deliverable: Deliverable): List<PositionedSample> =
        deliverable.attempts.mapNotNull { (sample, attempt) ->
            val positioned = sampler.generatedSample(attempt)
            if (positioned == null || !isFresh(positioned, deliverable)) {
                sampler.regenerate(sample, attempt)
                null
            } else {
                positioned
            }
        }

    private fun isFresh(positioned: PositionedSample, deliverable: Deliverable): Boolean {
        val oldest = positioned.sample.label.oldest ?: return false
        val version = deliverable.trainerVersion ?: return true
        return context.policies.staleness.atDelivery(oldest, version, terms) == DeliveryDecision.DELIVER
    }

    private fun json(samples: List<PositionedSample>, after: Long, remaining: Int): String = buildJsonObject {
        putJsonArray("samples") {
            samples.forEach { positioned ->
                addJsonObject {
                    put("identifier", positioned.sample.identifier.toString())
                    put("attempt", positioned.sample.attempt.value)
                    put("text", positioned.sample.text)
                    put("tokens", positioned.sample.label.tokens)
                    putJsonArray("spans") {
                        positioned.sample.label.spans.forEach { span ->
                            addJsonObject {
                                put("version", span.version.number)
                                put("tokens", span.tokens)
                            }
                        }
                    }
                }
            }
        }
        put("cursor", Cursor(sampler.token.value, samples.lastOrNull()?.position ?: after).toString())
        put("remaining", remaining)
    }.toString()
}
