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

/** Hands the drafted samples of [work] over to its trainer. */
internal class SampleDelivery(
    private val work: TrainerWork,
    private val tools: DraftTools,
) {
    private val contract = work.contract
    private val group = tools.group(contract)
    private val terms = StalenessSettings(contract.stalenessBound, contract.stalenessPreference)

    /** Returns the samples after the cursor, or null if the lease is held under another token. */
    suspend fun fetch(request: TrainerRequest.Fetch): Either<ControlFailure, String?> {
        val deadline = tools.clock() + request.wait
        request.version?.let { version ->
            val failure = tools.ledger.command(
                group,
                LedgerCommand.AnnounceVersion(contract.trainer, version),
            ).leftOrNull()
            if (failure != null) return failure.left()
            work.onVersion(version)
        }
        val after = request.cursor?.takeIf { it.token == work.token.value }?.position ?: 0
        while (true) {
            val seen = work.changes.value
            val read = LedgerQuery.ReadDeliverable(contract.trainer, work.token)
            val answer = tools.ledger.query(group, read).fold({ return it.left() }, { it })
            val deliverable = (answer as? LedgerAnswer.Deliverables)?.deliverable
            if (deliverable == null || work.lost) return null.right()
            val samples = confirmed(deliverable).filter { it.position > after }.sortedBy { it.position }
            val remaining = deadline - tools.clock()
            if (samples.isNotEmpty() || deliverable.remaining == 0 || !remaining.isPositive()) {
                return json(samples.take(request.limit), after, deliverable.remaining).right()
            }
            withTimeoutOrNull(remaining) { work.changes.first { it != seen } }
        }
    }

    private suspend fun confirmed(deliverable: Deliverable): List<HeldSample> =
        deliverable.attempts.mapNotNull { (sample, attempt) ->
            val held = work.held(attempt)
            if (held == null || !isFresh(held, deliverable)) {
                work.draftAgain(sample, attempt)
                null
            } else {
                held
            }
        }

    private fun isFresh(held: HeldSample, deliverable: Deliverable): Boolean {
        val oldest = held.sample.label.oldest ?: return false
        val version = deliverable.trainerVersion ?: return true
        return tools.policies.staleness.atDelivery(oldest, version, terms) == DeliveryDecision.DELIVER
    }

    private fun json(samples: List<HeldSample>, after: Long, remaining: Int): String = buildJsonObject {
        putJsonArray("samples") {
            samples.forEach { held ->
                addJsonObject {
                    put("identifier", held.sample.identifier.toString())
                    put("attempt", held.sample.attempt.value)
                    put("text", held.sample.text)
                    put("tokens", held.sample.label.tokens)
                    putJsonArray("spans") {
                        held.sample.label.spans.forEach { span ->
                            addJsonObject {
                                put("version", span.version.number)
                                put("tokens", span.tokens)
                            }
                        }
                    }
                }
            }
        }
        put("cursor", Cursor(work.token.value, samples.lastOrNull()?.position ?: after).toString())
        put("remaining", remaining)
    }.toString()
}
