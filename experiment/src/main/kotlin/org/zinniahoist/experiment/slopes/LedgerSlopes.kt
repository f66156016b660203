package org.zinniahoist.experiment.slopes

import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.FencingToken
import org.zinniahoist.model.Group
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Label
import org.zinniahoist.model.SampleIdentifier
import org.zinniahoist.model.Step
import org.zinniahoist.model.StepNumber
import org.zinniahoist.model.TokenSpan
import org.zinniahoist.model.TrainerName
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.state.StateCodec
import org.zinniahoist.state.ledger.LedgerCommand
import org.zinniahoist.state.ledger.LedgerStateMachine

private const val CLAIMS = 100_000
private const val TRAINERS = 31
private const val GROUPS = 512
private const val SAMPLES_IN_GROUP = 8
private const val PROMPT_CHARACTERS = 1_024
private val STEP = StepNumber(1)

/** Costs of claims and samples on one replica of a ledger group, without the replicated log. */
internal fun measureLedger(meter: Meter, print: (Row) -> Unit) {
    val claims = meter.retainedBytes { claimed(CLAIMS) } / CLAIMS
    print(Row("claim, heap of the state machine", "100,000 claims", claims, "B"))
    val machine = claimed(CLAIMS)
    val time = meter.microseconds { machine.applied(StateCodec.encode(claim(CLAIMS + it))) }
    val encoding = meter.microseconds { StateCodec.encode(claim(CLAIMS + it)) }
    print(Row("claim, encode", "-", encoding, "µs CPU"))
    print(Row("claim, decode, apply and answer", "over 100,000 claims", time - encoding, "µs CPU"))
    val samples = TRAINERS * GROUPS * SAMPLES_IN_GROUP
    val at = "31 x 4,096 samples"
    print(Row("sample, heap with prompt", at, meter.retainedBytes { drafting(results = false) } / samples, "B"))
    print(Row("sample, heap with prompt and result", at, meter.retainedBytes { drafting(true) } / samples, "B"))
    print(Row("sample, command RecordSample", "-", StateCodec.encode(result(0, 0)).size.toDouble(), "B"))
    val drafted = drafting(results = false)
    val commands = List(TRAINERS) { trainer -> List(GROUPS * SAMPLES_IN_GROUP) { result(trainer, it) } }
        .flatten().map { StateCodec.encode(it) }
    val recording = meter.microseconds { drafted.applied(commands[it % commands.size]) }
    print(Row("sample, record result", at, recording, "µs CPU"))
}

private fun claimed(count: Int): LedgerStateMachine = LedgerStateMachine().also { machine ->
    repeat(count) { machine.applied(StateCodec.encode(claim(it))) }
}

/** The ledger with one step of each trainer, with a recorded result of each sample if [results] are wanted. */
private fun drafting(results: Boolean): LedgerStateMachine = LedgerStateMachine().also { machine ->
    repeat(TRAINERS) { trainer ->
        val name = trainerName(trainer)
        val groups = List(GROUPS) { Group("%0${PROMPT_CHARACTERS}d".format(it), SAMPLES_IN_GROUP) }
        machine.applied(StateCodec.encode<LedgerCommand>(LedgerCommand.SubmitStep(Step(name, STEP, groups))))
        val lease = LedgerCommand.AcquireLease(name, InstanceName("entry-17"))
        machine.applied(StateCodec.encode<LedgerCommand>(lease))
        if (results) repeat(GROUPS * SAMPLES_IN_GROUP) { machine.applied(StateCodec.encode(result(trainer, it))) }
    }
}

private fun result(trainer: Int, sample: Int): LedgerCommand = LedgerCommand.RecordSample(
    SampleIdentifier(trainerName(trainer), STEP, sample / SAMPLES_IN_GROUP, sample % SAMPLES_IN_GROUP),
    FencingToken(1),
    AttemptIdentifier("entry-17-1733300000000-%08d-1".format(sample)),
    Label(listOf(TokenSpan(WeightVersion(1_234), 512))),
)

private fun trainerName(number: Int) = TrainerName("trainer-$number")

/** Applies an encoded command at index 1, so that each lease has the fencing token 1. */
private fun LedgerStateMachine.applied(command: ByteArray): ByteArray = apply(1, 0, command)
