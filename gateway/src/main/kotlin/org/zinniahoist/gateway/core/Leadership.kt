package org.zinniahoist.gateway.core

import org.zinniahoist.model.FencingToken

/** Action that a replica must take after a change of leadership. */
internal sealed interface LeadershipAction {
    /** Stop all leader work. */
    data object Deactivate : LeadershipAction

    /** Obtain a fencing token for [term] and pass the outcome to [Leadership.onFence]. */
    data class ObtainFence(val term: Long) : LeadershipAction

    /** Start the leader work of [term] with fencing token [fence]. */
    data class Activate(
        val term: Long,
        val fence: FencingToken,
    ) : LeadershipAction
}

/** State machine that tracks whether this replica is the active leader, term by term. Not thread-safe. */
internal class Leadership {
    private var state: State = State.Following

    /** True while this replica performs the leader work. */
    val isActive: Boolean get() = state is State.Active

    /** Handles the observed leadership in [term]. A term that begins and ends between two calls is not observed. */
    fun onStatus(isLeader: Boolean, term: Long): List<LeadershipAction> {
        if (isLeader && state.term == term) return emptyList()
        val actions = ArrayList<LeadershipAction>()
        if (isActive) actions += LeadershipAction.Deactivate
        if (isLeader) actions += LeadershipAction.ObtainFence(term)
        state = if (isLeader) State.ObtainingFence(term) else State.Following
        return actions
    }

    /** Handles the [fence] obtained for [term]; null if the attempt failed, which the next status retries. */
    fun onFence(term: Long, fence: FencingToken?): List<LeadershipAction> {
        if (state != State.ObtainingFence(term)) return emptyList()
        state = if (fence == null) State.Following else State.Active(term)
        return listOfNotNull(fence?.let { LeadershipAction.Activate(term, it) })
    }

    private sealed interface State {
        /** Term in which this replica is the leader, or null. */
        val term: Long?

        data object Following : State {
            override val term: Long? get() = null
        }

        data class ObtainingFence(override val term: Long) : State

        data class Active(override val term: Long) : State
    }
}
