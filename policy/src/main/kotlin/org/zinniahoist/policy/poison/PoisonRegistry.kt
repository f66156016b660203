package org.zinniahoist.policy.poison

import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment

/** Hash of what makes a request what it is: route and body, without identifiers. */
@JvmInline
public value class Fingerprint(public val value: Long)

/** Keeps requests that crash upstreams from crashing more of them. */
public interface PoisonRegistry {
    /** Decides whether a request may be given to [instance]. Changes nothing. */
    public fun decide(fingerprint: Fingerprint, instance: InstanceName, now: Moment): PoisonDecision

    /** Returns the only instance that may get a request now, or null if there is no such restriction. */
    public fun confinedTo(fingerprint: Fingerprint, now: Moment): InstanceName?

    /** Records that a request was given to [instance]. */
    public fun onStart(fingerprint: Fingerprint, instance: InstanceName, now: Moment)

    /** Records that one run of a request on [instance] ended without a crash. Only a finished run clears it. */
    public fun onEnd(
        fingerprint: Fingerprint,
        instance: InstanceName,
        finished: Boolean,
        now: Moment,
    )

    /** Records that [instance] crashed with the requests [inFlight] on it. Returns those that are blocked by it. */
    public fun onCrash(instance: InstanceName, inFlight: Set<Fingerprint>, now: Moment): Set<Fingerprint>
}

/** Whether a request may run on an upstream. */
public enum class PoisonDecision {
    /** The request is not under suspicion. */
    ALLOW,

    /** The request is a suspect and may run here, as no other suspect does. */
    ALLOW_SUSPECT,

    /** The request must wait or go elsewhere, as a run of a suspect is in the way. */
    WAIT,

    /** The request crashed two upstreams and is refused. */
    BLOCK,
}

/** Baseline: all requests run. */
public class PermissivePoisonRegistry : PoisonRegistry {
    override fun decide(fingerprint: Fingerprint, instance: InstanceName, now: Moment): PoisonDecision =
        PoisonDecision.ALLOW

    override fun confinedTo(fingerprint: Fingerprint, now: Moment): InstanceName? = null

    override fun onStart(fingerprint: Fingerprint, instance: InstanceName, now: Moment): Unit = Unit

    override fun onEnd(
        fingerprint: Fingerprint,
        instance: InstanceName,
        finished: Boolean,
        now: Moment,
    ): Unit = Unit

    override fun onCrash(instance: InstanceName, inFlight: Set<Fingerprint>, now: Moment): Set<Fingerprint> = emptySet()
}
