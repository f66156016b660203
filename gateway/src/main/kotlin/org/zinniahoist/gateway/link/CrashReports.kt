package org.zinniahoist.gateway.link

import org.zinniahoist.model.Moment
import org.zinniahoist.policy.poison.CrashEvidence
import org.zinniahoist.policy.poison.Fingerprint
import org.zinniahoist.policy.poison.ObservedCompletion
import org.zinniahoist.policy.poison.ObservedCrash
import org.zinniahoist.wire.ReportedCompletion
import org.zinniahoist.wire.ReportedCrash
import org.zinniahoist.wire.ServiceMessage
import kotlin.time.Duration.Companion.milliseconds

/** Returns the message that reports this evidence at [now]. Clocks of processes differ, so it contains ages. */
internal fun CrashEvidence.toReport(now: Moment): ServiceMessage.Crashes = ServiceMessage.Crashes(
    crashes.map {
        ReportedCrash(it.fingerprint.value, it.upstream, (now - it.at).inWholeMilliseconds, it.isRestored)
    },
    completions.map { ReportedCompletion(it.fingerprint.value, (now - it.at).inWholeMilliseconds) },
)

/** Returns the evidence in this message, which was received at [now]. */
internal fun ServiceMessage.Crashes.toEvidence(now: Moment): CrashEvidence = CrashEvidence(
    crashes.map {
        val at = now - it.ageMilliseconds.milliseconds
        ObservedCrash(Fingerprint(it.fingerprint), it.upstream, at, it.isRestored)
    },
    completions.map { ObservedCompletion(Fingerprint(it.fingerprint), now - it.ageMilliseconds.milliseconds) },
)
