package org.zinniahoist.daemon.sidecar

import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import org.zinniahoist.policy.poison.Fingerprint
import org.zinniahoist.policy.poison.PermissivePoisonRegistry
import org.zinniahoist.policy.poison.PoisonDecision
import org.zinniahoist.policy.poison.PoisonRegistry

/** Knows which requests crashed upstreams. Functions suspend so that the records can be kept in the ledger. */
public interface CrashReports {
    /** Decides whether a request may run on the sidecar's upstream. Changes nothing. */
    public suspend fun decide(fingerprint: Fingerprint, now: Moment): PoisonDecision

    /** Decides and, if the request may run, records its start in the same step. */
    public suspend fun tryStart(fingerprint: Fingerprint, now: Moment): PoisonDecision

    /** Records that a started run ended without a crash of the upstream. */
    public suspend fun onEnd(fingerprint: Fingerprint, finished: Boolean, now: Moment)

    /** Records that the upstream crashed with the requests [inFlight]. Their runs need no [onEnd]. */
    public suspend fun onCrash(inFlight: Set<Fingerprint>, now: Moment)

    /** Reads the records of other sidecars. */
    public suspend fun refresh(): Unit = Unit
}

/** Keeps the records in this process only. A restart forgets them, and other sidecars don't see them. */
public class LocalCrashReports(
    private val instance: InstanceName,
    private val registry: PoisonRegistry = PermissivePoisonRegistry(),
) : CrashReports {
    override suspend fun decide(fingerprint: Fingerprint, now: Moment): PoisonDecision =
        synchronized(registry) { registry.decide(fingerprint, instance, now) }

    override suspend fun tryStart(fingerprint: Fingerprint, now: Moment): PoisonDecision = synchronized(registry) {
        val decision = registry.decide(fingerprint, instance, now)
        val starts = decision == PoisonDecision.ALLOW || decision == PoisonDecision.ALLOW_SUSPECT
        if (starts) registry.onStart(fingerprint, instance, now)
        decision
    }

    override suspend fun onEnd(fingerprint: Fingerprint, finished: Boolean, now: Moment): Unit =
        synchronized(registry) { registry.onEnd(fingerprint, instance, finished, now) }

    override suspend fun onCrash(inFlight: Set<Fingerprint>, now: Moment) {
        synchronized(registry) { registry.onCrash(instance, inFlight, now) }
    }
}
