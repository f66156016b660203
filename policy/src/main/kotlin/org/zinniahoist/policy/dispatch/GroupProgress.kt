package org.zinniahoist.policy.dispatch

/** Tracks which groups of each job have begun. A step counts by complete groups, not by items. */
internal class GroupProgress {
    private val jobs = HashMap<String, Job>()

    private class Job {
        /** Number of groups that the trainer waits for, or null if it waits for all. */
        var wanted: Int? = null
        var openItems = 0
        val begun = HashSet<String>()
        val incomplete = HashSet<String>()
    }

    /** Records an item that was submitted. */
    fun onSubmit(work: ItemWork) {
        val job = jobs.getOrPut(work.key.job) { Job().apply { wanted = work.wantedGroups } }
        job.openItems++
        if (work.isGroupBegun) work.group?.let { job.begun += it }
    }

    /** Records the start of a run. */
    fun onStart(work: ItemWork) {
        val job = jobs[work.key.job] ?: return
        if (work.group != null && work.group !in job.incomplete) job.begun += work.group
    }

    /** Records the end of an item. Its group can't be complete if the item [isGivenUp]. */
    fun onRemove(work: ItemWork, isGivenUp: Boolean) {
        val job = jobs[work.key.job] ?: return
        if (isGivenUp && work.group != null) {
            job.begun -= work.group
            job.incomplete += work.group
        }
        if (--job.openItems == 0) jobs -= work.key.job
    }

    /** Removes all jobs. */
    fun clear() = jobs.clear()

    /** Returns true if the trainer does not need the group of [work], or the group can't be complete. */
    fun isSurplus(work: ItemWork): Boolean {
        val job = jobs[work.key.job]
        if (job == null || work.group == null || work.group in job.begun) return false
        return work.group in job.incomplete || job.wanted?.let { job.begun.size >= it } == true
    }
}
