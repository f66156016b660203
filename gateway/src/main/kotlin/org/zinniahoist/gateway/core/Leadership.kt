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

/** Follows whether this replica leads, one term at a time. Not safe for use by several threads. */
internal class Leadership {
    private var place: Place = Place.Following

    /** True while the work of the leader is done here. */
    val isActive: Boolean get() = place is Place.Active

    /** The group was seen in [term]. A term that began and ended between two calls is not seen. */
    fun onStatus(isLeader: Boolean, term: Long): List<LeadershipAction> {
        if (isLeader && place.term == term) return emptyList()
        val actions = ArrayList<LeadershipAction>()
        if (isActive) actions += LeadershipAction.Release
        if (isLeader) actions += LeadershipAction.DrawFence(term)
        place = if (isLeader) Place.Drawing(term) else Place.Following
        return actions
    }

    /** The [fence] of [term] was drawn; null if it could not be had, and then the next status draws it again. */
    fun onFence(term: Long, fence: FencingToken?): List<LeadershipAction> {
        if (place != Place.Drawing(term)) return emptyList()
        place = if (fence == null) Place.Following else Place.Active(term)
        return listOfNotNull(fence?.let { LeadershipAction.Take(term, it) })
    }

    private sealed interface Place {
        /** Term in which this replica leads, or null. */
        val term: Long?

        data object Following : Place {
            override val term: Long? get() = null
        }

        data class Drawing(override val term: Long) : Place

        data class Active(override val term: Long) : Place
    }
}
