package org.zinniahoist.gateway.core

import org.zinniahoist.model.FencingToken

/** What a replica has to do because of its place in the group. */
internal sealed interface LeadershipAction {
    /** End all work of the leader. */
    data object Release : LeadershipAction

    /** Draw a fencing token for [term]; the outcome goes to [Leadership.onFence]. */
    data class DrawFence(val term: Long) : LeadershipAction

    /** Begin the work of the leader in [term] under [fence]. */
    data class Take(
        val term: Long,
        val fence: FencingToken,
    ) : LeadershipAction
}

/** Follows whether this replica leads. Not safe for use by several threads. */
internal class Leadership {
    private var activeTerm: Long? = null

    /** True while the work of the leader is done here. */
    val isActive: Boolean get() = activeTerm != null

    /** The group was seen in [term]. */
    fun onStatus(isLeader: Boolean, term: Long): List<LeadershipAction> {
        val actions = ArrayList<LeadershipAction>()
        if (isLeader && activeTerm != term) {
            activeTerm = term
            actions += LeadershipAction.DrawFence(term)
        }
        if (!isLeader && activeTerm != null) {
            activeTerm = null
            actions += LeadershipAction.Release
        }
        return actions
    }

    /** The [fence] of [term] was drawn; null if it could not be had. */
    fun onFence(term: Long, fence: FencingToken?): List<LeadershipAction> {
        if (activeTerm != term) return emptyList()
        if (fence == null) {
            activeTerm = null
            return emptyList()
        }
        return listOf(LeadershipAction.Take(term, fence))
    }
}
