package org.zinniahoist.policy.routing

import org.zinniahoist.model.InstanceName

/** Set of the upstreams that accept new attempts, with constant-time insertion, removal and access by index. */
internal class IndexedUpstreams<T : Any>(private val nameOf: (T) -> InstanceName) {
    private val items = ArrayList<T>()
    private val positions = HashMap<InstanceName, Int>()

    val size: Int get() = items.size

    operator fun get(index: Int): T = items[index]

    operator fun contains(instance: InstanceName): Boolean = instance in positions

    fun add(item: T) {
        if (positions.putIfAbsent(nameOf(item), items.size) == null) items.add(item)
    }

    /** Fills the position of the removed item with the last item, which keeps the removal in constant time. */
    fun remove(instance: InstanceName) {
        val position = positions.remove(instance) ?: return
        val last = items.removeAt(items.lastIndex)
        if (position < items.size) {
            items[position] = last
            positions[nameOf(last)] = position
        }
    }
}
