package org.zinniahoist.policy.routing

import org.zinniahoist.model.InstanceName

/** Upstreams that can take new work, with constant-time change and random access. */
internal class KnownUpstreams<T : Any>(private val nameOf: (T) -> InstanceName) {
    private val items = ArrayList<T>()
    private val positions = HashMap<InstanceName, Int>()

    val size: Int get() = items.size

    operator fun get(index: Int): T = items[index]

    operator fun contains(instance: InstanceName): Boolean = instance in positions

    fun add(item: T) {
        if (positions.putIfAbsent(nameOf(item), items.size) == null) items.add(item)
    }

    /** Moves the last item to the gap, so that only two positions change. */
    fun remove(instance: InstanceName) {
        val position = positions.remove(instance) ?: return
        val last = items.removeAt(items.lastIndex)
        if (position < items.size) {
            items[position] = last
            positions[nameOf(last)] = position
        }
    }
}
