package org.zinniahoist.consensus

/** Collects the actions of one step and defers those that must follow a sync. */
internal class Outbox {
    private val actions = ArrayList<ReplicaAction>()
    private val deferred = ArrayList<() -> Unit>()
    private val unsynced = ArrayDeque<DeferredBlock>()
    private var issuedSequence = 0L
    private var syncedSequence = 0L

    fun emit(action: ReplicaAction) {
        actions += action
    }

    /** Runs [block] after all changes made up to the end of this step are synced. */
    fun afterSync(block: () -> Unit) {
        deferred += block
    }

    fun onPersisted(sequence: Long) {
        syncedSequence = maxOf(syncedSequence, sequence)
        while (unsynced.isNotEmpty() && unsynced.first().sequence <= syncedSequence) unsynced.removeFirst().block()
    }

    /** Ends the step and returns its actions. [takeChanges] maps the next sequence number to the changes to persist. */
    fun finish(takeChanges: (Long) -> ReplicaAction.Persist?): List<ReplicaAction> {
        val persist = takeChanges(issuedSequence + 1)
        if (persist != null) issuedSequence = persist.sequence
        for (block in deferred) {
            if (syncedSequence >= issuedSequence) block() else unsynced += DeferredBlock(issuedSequence, block)
        }
        deferred.clear()
        val result = listOfNotNull(persist) + actions
        actions.clear()
        return result
    }

    private class DeferredBlock(
        val sequence: Long,
        val block: () -> Unit,
    )
}
