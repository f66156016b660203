package org.zinniahoist.gateway.boundary

/** What an entry made of the bytes of one connection. */
internal class Observation(
    /** Requests that ran, in any order. */
    val ran: List<WireRequest>,
    /** Statuses that the client received, in order. */
    val statuses: List<Int>,
)

/**
 * Compares an [Observation] with what the client sent.
 *
 * @param isRouted returns true if a request reaches the upstream.
 */
internal class BoundaryOracle(private val isRouted: (WireRequest) -> Boolean) {
    /** Returns what is wrong about [seen], if the connection holds [sent] and perhaps bytes that are no request. */
    fun faults(sent: List<WireRequest>, seen: Observation): List<String> {
        val due = sent.filter(isRouted).map { it.withoutConnectionFields(OWN_FIELDS) }
        val ran = seen.ran.map { it.withoutConnectionFields(OWN_FIELDS) }
        val statuses = sent.map { if (isRouted(it)) OK else NOT_FOUND }
        return listOfNotNull(
            "not run as sent: ${due - ran.toSet()}".takeIf { !ran.containsAll(due) },
            "run but not sent: ${ran - due.toSet()}".takeIf { !due.containsAll(ran) },
            "run ${ran.size} times instead of ${due.size}".takeIf { ran.size != due.size },
            "statuses ${seen.statuses} instead of $statuses".takeIf { seen.statuses.take(sent.size) != statuses },
            "statuses ${seen.statuses} after a fault".takeIf { !REFUSALS.containsAll(seen.statuses.drop(sent.size)) },
        )
    }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        val REFUSALS = setOf(400, 413, 414, 431, 501, 505)

        /** Fields that the entry sets. */
        val OWN_FIELDS = setOf("x-upstream", "x-remaining", "user-agent")
    }
}
