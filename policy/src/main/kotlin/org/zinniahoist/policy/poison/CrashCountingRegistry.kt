package org.zinniahoist.policy.poison

import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours

/**
 * Blocks a request after it has been involved in two upstream crashes.
 *
 * Until one of its runs completes, a request runs on a single upstream at a time. Otherwise the samples of a group,
 * which share a prompt, could crash every upstream that they run on before the first crash is detected.
 */
public class CrashCountingRegistry(private val retention: Duration = 1.hours) : PoisonRegistry {
    private val suspects = LinkedHashMap<Fingerprint, Suspect>()
    private val activeRuns = HashMap<Fingerprint, ActiveRuns>()
    private val runsByInstance = HashMap<InstanceName, HashMap<Fingerprint, Int>>()

    override fun decide(fingerprint: Fingerprint, instance: InstanceName, now: Moment): PoisonDecision {
        val suspect = suspect(fingerprint, now)
        val active = activeRuns[fingerprint]
        return when {
            suspect == null -> if (mayRunOn(active, instance)) PoisonDecision.ALLOW else PoisonDecision.WAIT
            suspect.crashes >= MAXIMUM_CRASHES -> PoisonDecision.BLOCK
            active != null || hasOtherSuspect(instance, now) -> PoisonDecision.WAIT
            else -> PoisonDecision.ALLOW_SUSPECT
        }
    }

    override fun exclusiveInstance(fingerprint: Fingerprint, now: Moment): InstanceName? {
        val active = activeRuns[fingerprint] ?: return null
        return if (active.finished) null else active.instances.keys.firstOrNull()
    }

    override fun onStart(fingerprint: Fingerprint, instance: InstanceName, now: Moment) {
        activeRuns.getOrPut(fingerprint) { ActiveRuns() }.instances.merge(instance, 1, Int::plus)
        runsByInstance.getOrPut(instance) { HashMap() }.merge(fingerprint, 1, Int::plus)
    }

    override fun onEnd(
        fingerprint: Fingerprint,
        instance: InstanceName,
        finished: Boolean,
        now: Moment,
    ) {
        val suspect = suspect(fingerprint, now)
        if (finished && suspect != null && suspect.crashes < MAXIMUM_CRASHES) suspects.remove(fingerprint)
        if (finished) activeRuns[fingerprint]?.finished = true
        removeRun(fingerprint, instance, all = false)
    }

    override fun onCrash(instance: InstanceName, inFlight: Set<Fingerprint>, now: Moment): Set<Fingerprint> {
        evictExpired(now)
        val crashedRequests = inFlight + runsByInstance[instance]?.keys.orEmpty()
        crashedRequests.forEach { removeRun(it, instance, all = true) }
        return crashedRequests.filterTo(LinkedHashSet()) { fingerprint ->
            val crashes = (suspects.remove(fingerprint)?.crashes ?: 0) + 1
            suspects[fingerprint] = Suspect(crashes, now + retention)
            activeRuns[fingerprint]?.finished = false
            crashes == MAXIMUM_CRASHES
        }
    }

    private fun mayRunOn(active: ActiveRuns?, instance: InstanceName): Boolean =
        active == null || active.finished || instance in active.instances

    private fun hasOtherSuspect(instance: InstanceName, now: Moment): Boolean =
        runsByInstance[instance]?.keys.orEmpty().any { suspect(it, now) != null }

    private fun suspect(fingerprint: Fingerprint, now: Moment): Suspect? =
        suspects[fingerprint]?.takeIf { it.expiresAt > now }

    /** Evicts expired suspects. The map is ordered by the last crash, and thus by expiry. */
    private fun evictExpired(now: Moment) {
        val iterator = suspects.values.iterator()
        while (iterator.hasNext() && iterator.next().expiresAt <= now) iterator.remove()
    }

    private fun removeRun(fingerprint: Fingerprint, instance: InstanceName, all: Boolean) {
        val remaining = { count: Int -> if (all || count == 1) null else count - 1 }
        activeRuns[fingerprint]?.let { active ->
            active.instances.computeIfPresent(instance) { _, count -> remaining(count) }
            if (active.instances.isEmpty()) activeRuns.remove(fingerprint)
        }
        runsByInstance[instance]?.let { counts ->
            counts.computeIfPresent(fingerprint) { _, count -> remaining(count) }
            if (counts.isEmpty()) runsByInstance.remove(instance)
        }
    }

    private class Suspect(
        val crashes: Int,
        val expiresAt: Moment,
    )

    private class ActiveRuns(var finished: Boolean = false) {
        val instances = LinkedHashMap<InstanceName, Int>()
    }

    private companion object {
        const val MAXIMUM_CRASHES = 2
    }
}
