package org.zinniahoist.policy.sampling

import java.util.TreeSet

/**
 * Queue of the samples that have not started.
 *
 * Starts one sample of each group first, because its progress is the best predictor for the rest of the group. Then
 * starts the samples of the group with the longest estimated samples.
 */
internal class WaitingSamples(private val estimator: LengthEstimator) {
    var size = 0
        private set
    private val requeued = ArrayDeque<PlannedSample>()
    private val groups = HashMap<GroupKey, WaitingGroup>()
    private val groupsByPriority = TreeSet(
        compareBy<WaitingGroup> {
            it.hasStarted
        }.thenByDescending { it.upper }.thenBy { it.key.step }.thenBy { it.key.group },
    )
    private var observations = 0

    fun add(sample: PlannedSample) {
        size += 1
        val group = groups.getOrPut(groupKeyOf(sample)) { WaitingGroup(groupKeyOf(sample)) }
        reorder(group) { samples.addLast(sample) }
    }

    /** Requeues a sample whose attempt failed ahead of all others, because it is already late. */
    fun requeue(sample: PlannedSample) {
        size += 1
        requeued.addLast(sample)
    }

    fun removeFirst(): PlannedSample? {
        if (size == 0) return null
        size -= 1
        requeued.removeFirstOrNull()?.let { return it }
        val group = groupsByPriority.first()
        lateinit var sample: PlannedSample
        reorder(group) {
            sample = samples.removeFirst()
            hasStarted = true
        }
        if (group.samples.isEmpty()) groups.remove(group.key)
        return sample
    }

    fun onObserved(key: GroupKey) {
        observations += 1
        // The estimates of the other groups change slowly, so they are only refreshed once per interval.
        if (observations % REORDER_INTERVAL == 0) {
            groups.values.toList().forEach { reorder(it) {} }
        } else {
            groups[key]?.let { reorder(it) {} }
        }
    }

    /** Records that a running sample of the group has generated [tokens] tokens in total. */
    fun onProgress(key: GroupKey, tokens: Int) {
        val group = groups[key] ?: return
        if (tokens > group.longestRunningTokens * PROGRESS_FACTOR) reorder(group) { longestRunningTokens = tokens }
    }

    private fun reorder(group: WaitingGroup, update: WaitingGroup.() -> Unit) {
        groupsByPriority.remove(group)
        group.update()
        val first = group.samples.firstOrNull() ?: return
        group.upper = estimator.estimate(group.key, group.longestRunningTokens, first.maximumTokens).upper
        groupsByPriority.add(group)
    }

    private class WaitingGroup(val key: GroupKey) {
        val samples = ArrayDeque<PlannedSample>()
        var upper = 0.0
        var hasStarted = false
        var longestRunningTokens = 0
    }

    private companion object {
        const val REORDER_INTERVAL = 64

        /** Progress below this factor does not reorder the groups, which limits the cost of progress reports. */
        const val PROGRESS_FACTOR = 1.25
    }
}

internal fun groupKeyOf(sample: PlannedSample): GroupKey =
    GroupKey(sample.identifier.step.value, sample.identifier.group)
