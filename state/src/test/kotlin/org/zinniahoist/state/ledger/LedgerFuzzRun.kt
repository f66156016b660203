package org.zinniahoist.state.ledger

import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.CallerName
import org.zinniahoist.model.FencingToken
import org.zinniahoist.model.Group
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Label
import org.zinniahoist.model.SampleIdentifier
import org.zinniahoist.model.Step
import org.zinniahoist.model.StepNumber
import org.zinniahoist.model.TrainerName
import org.zinniahoist.state.idempotency.ClaimResult
import org.zinniahoist.state.idempotency.IdempotencyKey
import org.zinniahoist.state.idempotency.StoredOutcome
import org.zinniahoist.state.samples.LeaseResult
import org.zinniahoist.state.samples.RecordResult
import kotlin.random.Random

/** Faults to inject, which verify that the oracle detects violations. */
enum class InjectedFault { NONE, DROP_CLAIMS, IGNORE_TOKENS }

/** Executes one random schedule of ledger commands and checks the answers against an oracle. */
class LedgerFuzzRun(
    seed: Int,
    private val operations: Int,
    private val fault: InjectedFault = InjectedFault.NONE,
) {
    private val random = Random(seed)
    private val trainer = TrainerName("desk")
    private val holders = List(3) { InstanceName("entry-$it") }
    private val tokens = HashMap<InstanceName, FencingToken>()
    private val executedKeys = HashMap<IdempotencyKey, AttemptIdentifier>()
    private val openRuns = HashMap<AttemptIdentifier, IdempotencyKey>()
    private val recorded = HashMap<SampleIdentifier, Pair<FencingToken, AttemptIdentifier>>()
    private val acknowledgedSamples = HashSet<SampleIdentifier>()
    private var latestToken = FencingToken(0)
    private var machine = LedgerStateMachine()
    private var index = 0L
    private var time = 0L
    private var nextStep = 0L

    var grants = 0
        private set
    val acknowledged: Int get() = acknowledgedSamples.size

    fun execute() = repeat(operations) {
        time += random.nextLong(0, 400)
        when (random.nextInt(9)) {
            0, 1 -> claim()
            2 -> endRun()
            3 -> submit()
            4 -> acquire()
            5, 6 -> record()
            7 -> acknowledge()
            else -> restartReplica()
        }
    }

    private fun perform(command: LedgerCommand): LedgerAnswer = machine.perform(++index, time, command)

    private fun claim() {
        val key = IdempotencyKey(CallerName("caller-${random.nextInt(3)}"), "key-${random.nextInt(400)}")
        val run = AttemptIdentifier("run-$index")
        if (random.nextInt(5) == 0) perform(LedgerCommand.Release(run))
        val released = random.nextInt(8) == 0
        if (released) perform(LedgerCommand.Release(run))
        val answer = perform(LedgerCommand.Claim(key, "digest", run)) as LedgerAnswer.Claimed
        if (answer.result != ClaimResult.Granted) return
        check(!released) { "run $run was granted a key after its release" }
        grants++
        val other = executedKeys.put(key, run)
        check(other == null) { "key $key was granted to both $other and $run" }
        openRuns[run] = key
    }

    private fun endRun() {
        val run = openRuns.keys.minByOrNull { it.value } ?: return
        val key = openRuns.remove(run) ?: return
        when (random.nextInt(3)) {
            0 -> perform(LedgerCommand.Complete(run, StoredOutcome(200, "text/plain", run.value.encodeToByteArray())))
            1 -> perform(LedgerCommand.MarkUnknown(run))
            else -> {
                perform(LedgerCommand.Release(run))
                executedKeys.remove(key)
            }
        }
    }

    private fun submit() {
        val step = Step(trainer, StepNumber(nextStep), listOf(Group("prompt", 3), Group("other", 2)))
        val answer = perform(LedgerCommand.SubmitStep(step)) as LedgerAnswer.Submitted
        if (answer.result.name == "ACCEPTED") nextStep++
    }

    private fun acquire() {
        val holder = holders.random(random)
        val current = if (random.nextInt(4) == 0) null else tokens[holder]
        val answer = perform(LedgerCommand.AcquireLease(trainer, holder, current)) as LedgerAnswer.Leased
        val held = answer.result as? LeaseResult.Held ?: return
        check(held.token >= latestToken) { "fencing token ${held.token} was granted after the larger $latestToken" }
        latestToken = held.token
        tokens[holder] = held.token
    }

    private fun record() {
        val holder = holders.random(random)
        val token = if (fault == InjectedFault.IGNORE_TOKENS) latestToken else tokens[holder] ?: return
        val sample = randomSample() ?: return
        val attempt = AttemptIdentifier("attempt-${random.nextInt(3)}-$index")
        val answer = perform(LedgerCommand.RecordSample(sample, token, attempt, Label())) as LedgerAnswer.Recorded
        if (answer.result != RecordResult.RECORDED) return
        check(tokens[holder] == latestToken) { "$holder recorded $sample with a stale fencing token" }
        check(sample !in acknowledgedSamples) { "$sample was recorded after its acknowledgement" }
        val before = recorded.put(sample, token to attempt)
        check(before == null || before.first != token) { "$sample was recorded twice with fencing token $token" }
        checkDeliverable(token)
    }

    private fun checkDeliverable(token: FencingToken) {
        val answer = machine.read(LedgerQuery.ReadDeliverable(trainer, token)) as LedgerAnswer.Deliverables
        val delivered = answer.deliverable?.attempts.orEmpty()
        check(delivered.keys.none(acknowledgedSamples::contains)) { "an acknowledged sample is still deliverable" }
        delivered.forEach { (sample, attempt) ->
            check(recorded[sample]?.second == attempt) {
                "$sample is deliverable with the result of $attempt, which was not recorded"
            }
        }
    }

    private fun acknowledge() {
        val sample = recorded.keys.filter { it !in acknowledgedSamples }.minByOrNull { it.toString() } ?: return
        val answer = perform(LedgerCommand.AcknowledgeSamples(trainer, listOf(sample, sample)))
        check((answer as LedgerAnswer.Acknowledged).samples == 2) { "$sample was not acknowledged" }
        acknowledgedSamples += sample
    }

    private fun restartReplica() {
        val snapshot = machine.snapshot()
        machine = LedgerStateMachine()
        if (fault != InjectedFault.DROP_CLAIMS) machine.restore(snapshot)
    }

    private fun randomSample(): SampleIdentifier? {
        if (nextStep == 0L) return null
        val step = StepNumber(maxOf(0, nextStep - 1 - random.nextLong(4)))
        val group = random.nextInt(2)
        return SampleIdentifier(trainer, step, group, random.nextInt(if (group == 0) 3 else 2))
    }

    private fun check(condition: Boolean, message: () -> String) {
        if (!condition) throw AssertionError("operation $index: ${message()}")
    }
}
