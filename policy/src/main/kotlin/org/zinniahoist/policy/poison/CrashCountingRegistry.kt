package org.zinniahoist.policy.poison

import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours

/**
 * Blocks a request at its second crash.
 *
 * A request that no upstream has finished runs on one upstream at a time. Without that rule the samples of a group,
 * which share a prompt, could crash as many upstreams as they run on before the first crash is known.
 */
public class CrashCountingRegistry(private val retention: Duration = 1.hours) : PoisonRegistry {
    private val suspects = LinkedHashMap<Fingerprint, Suspect>()
    private val runs = HashMap<Fingerprint, Runs>()
    private val runningOn = HashMap<InstanceName, HashMap<Fingerprint, Int>>()

    override fun decide(fingerprint: Fingerprint, instance: InstanceName, now: Moment): PoisonDecision {
        val suspect = suspect(fingerprint, now)
        val running = runs[fingerprint]
        return when {
            suspect == null -> if (mayJoin(running, instance)) PoisonDecision.ALLOW else PoisonDecision.WAIT
            suspect.crashes >= MAXIMUM_CRASHES -> PoisonDecision.BLOCK
            running != null || hasOtherSuspect(instance, now) -> PoisonDecision.WAIT
            else -> PoisonDecision.ALLOW_SUSPECT
        }
    }

    override fun confinedTo(fingerprint: Fingerprint, now: Moment): InstanceName? {
        val running = runs[fingerprint] ?: return null
        return if (running.finished) null else running.instances.keys.firstOrNull()
    }

    override fun onStart(fingerprint: Fingerprint, instance: InstanceName, now: Moment) {
        runs.getOrPut(fingerprint) { Runs() }.instances.merge(instance, 1, Int::plus)
        runningOn.getOrPut(instance) { HashMap() }.merge(fingerprint, 1, Int::plus)
    }

    override fun onEnd(
        fingerprint: Fingerprint,
        instance: InstanceName,
        finished: Boolean,
        now: Moment,
    ) {
        val suspect = suspect(fingerprint, now)
        if (finished && suspect != null && suspect.crashes < MAXIMUM_CRASHES) suspects.remove(fingerprint)
        if (finished) runs[fingerprint]?.finished = true
        removeRun(fingerprint, instance, all = false)
    }

    override fun onCrash(instance: InstanceName, inFlight: Set<Fingerprint>, now: Moment): Set<Fingerprint> {
        forgetExpired(now)
        val involved = inFlight + runningOn[instance]?.keys.orEmpty()
        involved.forEach { removeRun(it, instance, all = true) }
        return involved.filterTo(LinkedHashSet()) { fingerprint ->
            val crashes = (suspects.remove(fingerprint)?.crashes ?: 0) + 1
            suspects[fingerprint] = Suspect(crashes, now + retention)
            runs[fingerprint]?.finished = false
            crashes == MAXIMUM_CRASHES
        }
    }

    private fun mayJoin(running: Runs?, instance: InstanceName): Boolean =
        running == null || running.finished || instance in running.instances

    private fun hasOtherSuspect(instance: InstanceName, now: Moment): Boolean =
        runningOn[instance]?.keys.orEmpty().any { suspect(it, now) != null }

    private fun suspect(fingerprint: Fingerprint, now: Moment): Suspect? =
        suspects[fingerprint]?.takeIf { it.expires > now }

    /** Suspects are in the order of their last crash, which is the order in which they expire. */
    private fun forgetExpired(now: Moment) {
        val iterator = suspects.values.iterator()
        while (iterator.hasNext() && iterator.next().expires <= now) iterator.remove()
    }

    private fun removeRun(fingerprint: Fingerprint, instance: InstanceName, all: Boolean) {
        val remaining = { count: Int -> if (all || count == 1) null else count - 1 }
        runs[fingerprint]?.let { running ->
            running.instances.computeIfPresent(instance) { _, count -> remaining(count) }
            if (running.instances.isEmpty()) runs.remove(fingerprint)
        }
        runningOn[instance]?.let { counts ->
            counts.computeIfPresent(fingerprint) { _, count -> remaining(count) }
            if (counts.isEmpty()) runningOn.remove(instance)
        }
    }

    private class Suspect(
        val crashes: Int,
        val expires: Moment,
    )

    private class Runs(var finished: Boolean = false) {
        val instances = LinkedHashMap<InstanceName, Int>()
    }

    private companion object {
        const val MAXIMUM_CRASHES = 2
    }
}
