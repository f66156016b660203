package org.zinniahoist.consensus

/** Collects the actions of one step and holds back what must wait for a sync. */
internal class Outbox {
    private val actions = ArrayList<ReplicaAction>()
    private val thisStep = ArrayList<() -> Unit>()
    private val waiting = ArrayDeque<Waiting>()
    private var issued = 0L
    private var completed = 0L

    fun emit(action: ReplicaAction) {
        actions += action
    }

    /** Runs [block] once everything that changed up to the end of this step is synced. */
    fun afterSync(block: () -> Unit) {
        thisStep += block
    }

    fun onPersisted(sequence: Long) {
        completed = maxOf(completed, sequence)
        while (waiting.isNotEmpty() && waiting.first().sequence <= completed) waiting.removeFirst().block()
    }

    /** Ends the step; [takeChanges] returns the changes to persist, given the next sequence number. */
    fun finish(takeChanges: (Long) -> ReplicaAction.Persist?): List<ReplicaAction> {
        val persist = takeChanges(issued + 1)
        if (persist != null) issued = persist.sequence
        for (block in thisStep) {
            if (completed >= issued) block() else waiting += Waiting(issued, block)
        }
        thisStep.clear()
        val result = listOfNotNull(persist) + actions
        actions.clear()
        return result
    }

    private class Waiting(
        val sequence: Long,
        val block: () -> Unit,
    )
}
