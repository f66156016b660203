package org.zinniahoist.policy.poison

/** Remembers completed runs in a table of fixed size, in which a later run may replace that of another request. */
internal class RecentCompletions {
    private val slots = arrayOfNulls<ObservedCompletion>(SLOTS)

    /** Records [completion], the latest run of its request. */
    fun put(completion: ObservedCompletion) {
        slots[slotOf(completion.fingerprint)] = completion
    }

    /** Returns the latest recorded run of the request, or null if there is none or it was replaced. */
    fun find(fingerprint: Fingerprint): ObservedCompletion? =
        slots[slotOf(fingerprint)]?.takeIf { it.fingerprint == fingerprint }

    private fun slotOf(fingerprint: Fingerprint): Int = (fingerprint.value and (SLOTS - 1).toLong()).toInt()

    private companion object {
        /** A power of two. */
        const val SLOTS = 2_048
    }
}
