package org.zinniahoist.policy.admission

import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.TrainerName
import java.util.TreeMap
import java.util.TreeSet
import kotlin.time.Duration

/** An attempt that waits, with its place in the order of arrival. */
internal class WaitingAttempt(
    val attempt: QueuedAttempt,
    val sequence: Long,
) {
    val identifier: AttemptIdentifier get() = attempt.identifier
}

/** The waiting attempts of one trainer. */
internal class TrainerBacklog(
    val trainer: TrainerName,
    private val settings: AdmissionSettings,
) {
    /** Engine time used, divided by the trainer's weight, in nanoseconds. */
    var virtualTime = 0L
    var weight = 1
    var expectedTime: Duration = Duration.ZERO
        private set
    private val groups = HashMap<String, GroupBacklog>()
    private val groupOrder = TreeSet(
        compareBy<GroupBacklog>({ !it.started }, { it.remaining }, { it.firstSequence }, { it.name }),
    )
    private val arrival = TreeMap<Long, WaitingAttempt>()
    private var groupStarts = 0

    val isEmpty: Boolean get() = arrival.isEmpty()

    fun add(waiting: WaitingAttempt, origin: Origin.Training) {
        weight = origin.weight.coerceAtLeast(1)
        arrival[waiting.sequence] = waiting
        expectedTime += waiting.attempt.expectedTime
        val group = groups.getOrPut(origin.group) { GroupBacklog(origin.group, waiting.sequence) }
        reorder(group) {
            remaining = origin.remainingInGroup
            waitingSequences.add(waiting.sequence)
        }
    }

    fun next(): WaitingAttempt {
        val oldest = groupStarts >= settings.groupStartsInRow
        groupStarts = if (oldest) 0 else groupStarts + 1
        val sequence = if (oldest) arrival.firstKey() else groupOrder.first().waitingSequences.first()
        val waiting = arrival.getValue(sequence)
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
        arrival.remove(waiting.sequence)
        expectedTime -= waiting.attempt.expectedTime
        val group = groups.getValue(groupOf(waiting))
        reorder(group) { waitingSequences.remove(waiting.sequence) }
        forgetIfUnused(group)
    }

    fun onEnd(origin: Origin.Training) {
        val group = groups[origin.group] ?: return
        reorder(group) {
            running = (running - 1).coerceAtLeast(0)
            remaining = (remaining - 1).coerceAtLeast(1)
        }
        forgetIfUnused(group)
    }

    private fun groupOf(waiting: WaitingAttempt): String = (waiting.attempt.origin as Origin.Training).group

    private fun forgetIfUnused(group: GroupBacklog) {
        if (group.waitingSequences.isEmpty() && group.running == 0) groups.remove(group.name)
    }

    private fun reorder(group: GroupBacklog, change: GroupBacklog.() -> Unit) {
        groupOrder.remove(group)
        group.change()
        if (group.waitingSequences.isNotEmpty()) groupOrder.add(group)
    }
}

/** The waiting attempts of one group. */
internal class GroupBacklog(
    val name: String,
    val firstSequence: Long,
) {
    var started = false
    var remaining = 0
    var running = 0
    val waitingSequences = TreeSet<Long>()
}
