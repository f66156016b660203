package org.zinniahoist.policy.poison

import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment

/** Content hash of a request: its route and body, without identifiers. */
@JvmInline
public value class Fingerprint(public val value: Long) {
    override fun toString(): String = "%016x".format(value)
}

/** Detects requests that crash upstreams, and keeps them from crashing further upstreams. */
public interface PoisonRegistry {
    /** Decides whether a request may run on [instance], without changing any state. */
    public fun decide(fingerprint: Fingerprint, instance: InstanceName, now: Moment): PoisonDecision

    /** Returns the only instance on which a request may currently run, or null if it is not restricted to one. */
    public fun exclusiveInstance(fingerprint: Fingerprint, now: Moment): InstanceName?

    /** Records that a request was started on [instance]. */
    public fun onStart(fingerprint: Fingerprint, instance: InstanceName, now: Moment)

    /** Records that a run of a request on [instance] ended without a crash. Only a [finished] run clears a suspect. */
    public fun onEnd(
        fingerprint: Fingerprint,
        instance: InstanceName,
        finished: Boolean,
        now: Moment,
    )

    /**
     * Records that [instance] crashed while the requests [inFlight] ran on it. Returns the requests that this crash
     * blocks.
     */
    public fun onCrash(instance: InstanceName, inFlight: Set<Fingerprint>, now: Moment): Set<Fingerprint>
}

/** Decision on whether a request may run on an upstream. */
public enum class PoisonDecision {
    /** The request is not a suspect and may run here. */
    ALLOW,

    /** The request is a suspect and may run here, because no other suspect runs here. */
    ALLOW_SUSPECT,

    /** The request must wait or be routed to another upstream, because of a run of a suspect or of the same request. */
    WAIT,

    /** The request was involved in two crashes and is refused. */
    BLOCK,
}

/** Baseline registry: permits every request. */
public class PermissivePoisonRegistry : PoisonRegistry {
    override fun decide(fingerprint: Fingerprint, instance: InstanceName, now: Moment): PoisonDecision =
        PoisonDecision.ALLOW

    override fun exclusiveInstance(fingerprint: Fingerprint, now: Moment): InstanceName? = null

    override fun onStart(fingerprint: Fingerprint, instance: InstanceName, now: Moment): Unit = Unit

    override fun onEnd(
        fingerprint: Fingerprint,
        instance: InstanceName,
        finished: Boolean,
        now: Moment,
    ): Unit = Unit

    override fun onCrash(instance: InstanceName, inFlight: Set<Fingerprint>, now: Moment): Set<Fingerprint> = emptySet()
}
