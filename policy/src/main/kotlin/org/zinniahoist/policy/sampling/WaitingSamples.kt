package org.zinniahoist.policy.sampling

import java.util.TreeSet

/**
 * Samples that wait.
 *
 * One sample of each group starts first, as its progress tells most about the others. Then follow those of the group
 * with the longest expected samples.
 */
internal class WaitingSamples(private val estimator: LengthEstimator) {
    var size = 0
        private set
    private val again = ArrayDeque<PlannedSample>()
    private val groups = HashMap<GroupKey, WaitingGroup>()
    private val order = TreeSet(
        compareBy<WaitingGroup> {
            it.probed
        }.thenByDescending { it.upper }.thenBy { it.key.step }.thenBy { it.key.group },
    )
    private var observations = 0

    fun add(sample: PlannedSample) {
        size += 1
        val group = groups.getOrPut(keyOf(sample)) { WaitingGroup(keyOf(sample)) }
        reorder(group) { samples.addLast(sample) }
    }

    /** Adds a sample whose attempt failed. It goes before all others, as it is late already. */
    fun addAgain(sample: PlannedSample) {
        size += 1
        again.addLast(sample)
    }

    fun removeFirst(): PlannedSample? {
        if (size == 0) return null
        size -= 1
        again.removeFirstOrNull()?.let { return it }
        val group = order.first()
        lateinit var sample: PlannedSample
        reorder(group) {
            sample = samples.removeFirst()
            probed = true
        }
        if (group.samples.isEmpty()) groups.remove(group.key)
        return sample
    }

    fun onObserved(key: GroupKey) {
        observations += 1
        // Estimates of the other groups move slowly with all observations.
        if (observations % REORDER_INTERVAL == 0) {
            groups.values.toList().forEach { reorder(it) {} }
        } else {
            groups[key]?.let { reorder(it) {} }
        }
    }

    /** Records that a sample of the group runs and has [tokens] so far. */
    fun onProgress(key: GroupKey, tokens: Int) {
        val group = groups[key] ?: return
        if (tokens > group.longestRunning * PROGRESS_FACTOR) reorder(group) { longestRunning = tokens }
    }

    private fun reorder(group: WaitingGroup, change: WaitingGroup.() -> Unit) {
        order.remove(group)
        group.change()
        val first = group.samples.firstOrNull() ?: return
        group.upper = estimator.estimate(group.key, group.longestRunning, first.maximumTokens).upper
        order.add(group)
    }

    private class WaitingGroup(val key: GroupKey) {
        val samples = ArrayDeque<PlannedSample>()
        var upper = 0.0
        var probed = false
        var longestRunning = 0
    }

    private companion object {
        const val REORDER_INTERVAL = 64

        /** Progress below this factor does not change the order, so that reports stay cheap. */
        const val PROGRESS_FACTOR = 1.25
    }
}

internal fun keyOf(sample: PlannedSample): GroupKey = GroupKey(sample.identifier.step.value, sample.identifier.group)
