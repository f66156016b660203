package org.zinniahoist.state.ledger

import kotlinx.serialization.Serializable
import org.zinniahoist.consensus.StateMachine
import org.zinniahoist.model.FencingToken
import org.zinniahoist.state.StateCodec
import org.zinniahoist.state.crashes.CrashLedger
import org.zinniahoist.state.crashes.CrashState
import org.zinniahoist.state.idempotency.IdempotencyLedger
import org.zinniahoist.state.idempotency.IdempotencyState
import org.zinniahoist.state.samples.SampleLedger
import org.zinniahoist.state.samples.SampleState

/** Replicated state machine of a `ledger` consensus group: idempotency keys, samples and crashes. */
public class LedgerStateMachine(
    private val idempotency: IdempotencyLedger = IdempotencyLedger(),
    private val samples: SampleLedger = SampleLedger(),
    private val crashes: CrashLedger = CrashLedger(),
) : StateMachine {
    override fun apply(index: Long, timeMilliseconds: Long, command: ByteArray): ByteArray {
        val answer = runCatching { StateCodec.decode<LedgerCommand>(command) }
            .fold({ perform(index, timeMilliseconds, it) }, { LedgerAnswer.Malformed(it.message.orEmpty()) })
        return StateCodec.encode<LedgerAnswer>(answer)
    }

    override fun query(timeMilliseconds: Long, query: ByteArray): ByteArray {
        val answer = runCatching { StateCodec.decode<LedgerQuery>(query) }
            .fold(::read) { LedgerAnswer.Malformed(it.message.orEmpty()) }
        return StateCodec.encode<LedgerAnswer>(answer)
    }

    override fun snapshot(): ByteArray =
        StateCodec.encode(LedgerState(idempotency.capture(), samples.capture(), crashes.capture()))

    override fun restore(snapshot: ByteArray) {
        val state = StateCodec.decode<LedgerState>(snapshot)
        idempotency.restore(state.idempotency)
        samples.restore(state.samples)
        crashes.restore(state.crashes)
    }

    /** Applies [command] from position [index] of the log; a new fencing token equals the index. */
    public fun perform(index: Long, timeMilliseconds: Long, command: LedgerCommand): LedgerAnswer = when (command) {
        is LedgerCommand.Claim -> LedgerAnswer.Claimed(
            idempotency.claim(command.key, command.bodyDigest, command.run, timeMilliseconds),
        )

        is LedgerCommand.Complete -> LedgerAnswer.Done(idempotency.complete(command.run, command.outcome))

        is LedgerCommand.MarkUnknown -> LedgerAnswer.Done(idempotency.markUnknown(command.run))

        is LedgerCommand.Release -> LedgerAnswer.Done(idempotency.release(command.run, timeMilliseconds))

        is LedgerCommand.SubmitStep -> LedgerAnswer.Submitted(samples.submit(command.step))

        is LedgerCommand.AcquireLease -> LedgerAnswer.Leased(
            samples.acquire(command.trainer, command.holder, command.current, FencingToken(index), timeMilliseconds),
        )

        is LedgerCommand.SurrenderLease -> LedgerAnswer.Done(samples.surrender(command.trainer, command.token))

        is LedgerCommand.RecordSample -> LedgerAnswer.Recorded(
            samples.record(command.sample, command.token, command.attempt, command.label),
        )

        is LedgerCommand.DiscardSample -> LedgerAnswer.Done(
            samples.discard(command.sample, command.token, command.attempt),
        )

        is LedgerCommand.AcknowledgeSamples -> LedgerAnswer.Acknowledged(
            samples.acknowledge(command.trainer, command.samples),
        )

        is LedgerCommand.ReportCrash -> {
            crashes.report(command.fingerprints, timeMilliseconds)
            LedgerAnswer.Done(changed = true)
        }

        is LedgerCommand.StartSuspect -> LedgerAnswer.SuspectStarted(
            crashes.start(command.fingerprint, command.instance, timeMilliseconds),
        )

        is LedgerCommand.EndSuspect -> {
            crashes.end(command.fingerprint, command.instance, command.finished)
            LedgerAnswer.Done(changed = true)
        }

        is LedgerCommand.AnnounceVersion -> LedgerAnswer.Announced(samples.announce(command.trainer, command.version))
    }

    /** Answers [query] from the current state. */
    public fun read(query: LedgerQuery): LedgerAnswer = when (query) {
        is LedgerQuery.ReadDeliverable -> LedgerAnswer.Deliverables(samples.deliverable(query.trainer, query.token))
        LedgerQuery.ReadOpenTrainers -> LedgerAnswer.OpenTrainers(samples.openTrainers())
        is LedgerQuery.ReadHolder -> LedgerAnswer.Holder(samples.holder(query.trainer))
        LedgerQuery.ReadSuspects -> LedgerAnswer.Suspects(crashes.suspects())
        LedgerQuery.ReadSizes -> LedgerAnswer.Sizes(idempotency.size, samples.openTrainers().size)
    }
}

@Serializable
internal data class LedgerState(
    val idempotency: IdempotencyState,
    val samples: SampleState,
    val crashes: CrashState = CrashState(),
)
