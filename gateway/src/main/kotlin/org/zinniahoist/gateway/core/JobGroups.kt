package org.zinniahoist.gateway.core

import org.zinniahoist.state.service.JobRecord

/** Progress of the groups of a job according to the replicated state, from which a new leader continues. */
internal class JobGroups(record: JobRecord) {
    private val completed = record.results.filter { it.isCompleted }.mapTo(HashSet()) { it.item }

    /** Groups of which an item has a result or a text. */
    val begun: Set<String> = record.job.items
        .filter { it.identifier in completed || record.text(it.identifier) != null }
        .mapNotNullTo(HashSet()) { it.group }

    /** Number of further complete groups that the trainer waits for, or null if it waits for all. */
    val wanted: Int? = record.job.step?.wantedGroups?.takeIf { it > 0 }?.let { wanted ->
        val complete = record.job.items
            .filter { it.group != null }
            .groupBy { it.group }
            .count { (_, items) -> items.all { it.identifier in completed } }
        (wanted - complete).coerceAtLeast(0)
    }
}
