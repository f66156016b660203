package org.zinniahoist.experiment.slopes

import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.CallerName
import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Label
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Region
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.Revision
import org.zinniahoist.model.Role
import org.zinniahoist.model.TokenSpan
import org.zinniahoist.model.TrainerName
import org.zinniahoist.model.Upstream
import org.zinniahoist.model.Verdict
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.state.StateCodec
import org.zinniahoist.state.idempotency.IdempotencyKey
import org.zinniahoist.state.ledger.LedgerCommand
import org.zinniahoist.wire.AttemptMessage
import org.zinniahoist.wire.CallKind
import org.zinniahoist.wire.ControlMessage
import org.zinniahoist.wire.FrameCodec
import org.zinniahoist.wire.LinkMessage
import org.zinniahoist.wire.LoadReport
import org.zinniahoist.wire.Message
import org.zinniahoist.wire.RequestOrigin
import org.zinniahoist.wire.UpstreamCall

private const val BODY_BYTES = 1_024
private const val CHUNK_BYTES = 40
private val VERSION = WeightVersion(1_234)
private val ATTEMPT = AttemptIdentifier("entry-17-1733300000000-123456-1")
private val DOMAIN = FailureDomain("cz-central-a", Region("cz-central"))
private val LOAD = LoadReport(48, 12, 64, 2_345.678, VERSION)

/** Bytes of each message with the length in front of it, and the processor time of its two ends. */
internal fun measureMessages(meter: Meter, print: (Row) -> Unit) {
    messages().forEach { (name, message) ->
        val bytes = FrameCodec.encode(message)
        print(Row("$name, frame", "-", (bytes.size + FrameCodec.PREFIX_BYTES).toDouble(), "B"))
        print(Row("$name, encode", "-", meter.microseconds { FrameCodec.encode(message) }, "µs CPU"))
        print(Row("$name, decode", "-", meter.microseconds { FrameCodec.decode(bytes) }, "µs CPU"))
    }
}

private fun messages(): Map<String, Message> = mapOf(
    "Hello" to LinkMessage.Hello(
        protocolVersion = 1,
        instance = InstanceName("sampler-1234"),
        incarnation = Incarnation(1_733_300_000_000),
        failureDomain = DOMAIN,
        roles = setOf(Role.SIDECAR),
        upstream = Upstream.ModelEngine(InstanceName("sampler-1234"), DOMAIN, ModelName("order-suggestions")),
    ),
    "Heartbeat without load" to LinkMessage.Heartbeat(100_000, 100_000, false, Revision(64_000)),
    "Heartbeat with load" to LinkMessage.Heartbeat(100_000, 100_000, false, Revision(64_000), LOAD),
    "StartAttempt, body 1,024 B" to AttemptMessage.StartAttempt(
        attempt = ATTEMPT,
        request = RequestIdentifier("entry-17-1733300000000-123456"),
        heartbeatEcho = 100_000,
        budgetMilliseconds = 60_000,
        origin = RequestOrigin.Training(TrainerName("trainer-17"), 1, "1234/511", 8, 900.0),
        call = UpstreamCall("POST", "/v1/completions", "application/json", ByteArray(BODY_BYTES) { 'a'.code.toByte() }),
        fingerprint = Long.MAX_VALUE,
    ),
    "AttemptChunk, 1 token" to
        AttemptMessage.AttemptChunk(ATTEMPT, 512, ByteArray(CHUNK_BYTES) { 'a'.code.toByte() }, 1, VERSION),
    "AttemptEnd" to AttemptMessage.AttemptEnd(
        ATTEMPT,
        Verdict.Completed,
        chunks = 512,
        status = 200,
        contentType = "text/event-stream",
        label = Label(listOf(TokenSpan(VERSION, 512))),
        load = LOAD,
    ),
    "ControlCall with Claim" to
        ControlMessage.ControlCall(123_456, "ledger-cz-central", CallKind.COMMAND, StateCodec.encode(claim(1))),
    "SettingsUpdate, delta of 1 of 100 branches" to
        ControlMessage.SettingsUpdate(Revision(64_000), true, StateCodec.encode(sampleDelta(branches = 100))),
)

/** The claim of request number [number]. */
internal fun claim(number: Int): LedgerCommand = LedgerCommand.Claim(
    key = IdempotencyKey(CallerName("order-desk"), "01234567-89ab-cdef-0123-%012d".format(number)),
    bodyDigest = "%032x".format(number),
    run = AttemptIdentifier("sampler-1234-1733300000000-%08d".format(number)),
)
