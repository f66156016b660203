package org.zinniahoist.policy.admission

import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.TrainerName
import java.util.TreeMap
import java.util.TreeSet
import kotlin.time.Duration

/** Queued attempt with its arrival sequence number. */
internal class WaitingAttempt(
    val attempt: QueuedAttempt,
    val sequence: Long,
) {
    val identifier: AttemptIdentifier get() = attempt.identifier
}

/** Queue of the attempts of one trainer. */
internal class TrainerBacklog(
    val trainer: TrainerName,
    private val settings: AdmissionSettings,
) {
    /** Engine time consumed by the trainer, divided by its weight, in nanoseconds. */
    var virtualTime = 0L
    var weight = 1
    var expectedTime: Duration = Duration.ZERO
        private set
    private val groups = HashMap<String, GroupBacklog>()
    private val groupsByPriority = TreeSet(
        compareBy<GroupBacklog>({ !it.started }, { it.remaining }, { it.firstSequence }, { it.name }),
    )
    private val byArrival = TreeMap<Long, WaitingAttempt>()
    private var groupStarts = 0

    val isEmpty: Boolean get() = byArrival.isEmpty()

    fun add(waiting: WaitingAttempt, origin: Origin.Training) {
        weight = origin.weight.coerceAtLeast(1)
        byArrival[waiting.sequence] = waiting
        expectedTime += waiting.attempt.expectedTime
        val group = groups.getOrPut(origin.group) { GroupBacklog(origin.group, waiting.sequence) }
        reorder(group) {
            remaining = origin.remainingInGroup
            waitingSequences.add(waiting.sequence)
        }
    }

    fun next(): WaitingAttempt {
        val startsOldest = groupStarts >= settings.consecutiveGroupStarts
        groupStarts = if (startsOldest) 0 else groupStarts + 1
        val sequence = if (startsOldest) byArrival.firstKey() else groupsByPriority.first().waitingSequences.first()
        val waiting = byArrival.getValue(sequence)
        val group = groups.getValue(groupOf(waiting))
        remove(waiting)
        reorder(group) {
            started = true
            running += 1
        }
        groups[group.name] = group
        return waiting
    }

    fun remove(waiting: WaitingAttempt) {
        byArrival.remove(waiting.sequence)
        expectedTime -= waiting.attempt.expectedTime
        val group = groups.getValue(groupOf(waiting))
        reorder(group) { waitingSequences.remove(waiting.sequence) }
        removeIfUnused(group)
    }

    fun onEnd(origin: Origin.Training) {
        val group = groups[origin.group] ?: return
        reorder(group) {
            running = (running - 1).coerceAtLeast(0)
            remaining = (remaining - 1).coerceAtLeast(1)
        }
        removeIfUnused(group)
    }

    private fun groupOf(waiting: WaitingAttempt): String = (waiting.attempt.origin as Origin.Training).group

    private fun removeIfUnused(group: GroupBacklog) {
        if (group.waitingSequences.isEmpty() && group.running == 0) groups.remove(group.name)
    }

    private fun reorder(group: GroupBacklog, update: GroupBacklog.() -> Unit) {
        groupsByPriority.remove(group)
        group.update()
        if (group.waitingSequences.isNotEmpty()) groupsByPriority.add(group)
    }
}

/** Queue and progress of the attempts of one sample group. */
internal class GroupBacklog(
    val name: String,
    val firstSequence: Long,
) {
    var started = false
    var remaining = 0
    var running = 0
    val waitingSequences = TreeSet<Long>()
}
