package org.zinniahoist.state.coordination

import kotlinx.serialization.Serializable
import org.zinniahoist.model.InstanceName

/** A query for the state of the `settings` consensus group. */
@Serializable
public sealed interface CoordinationQuery {
    /** Reads the settings tree. Answered by [CoordinationAnswer.Tree]. */
    @Serializable
    public data object ReadTree : CoordinationQuery

    /** Reads the current orders to [upstream]. Answered by [CoordinationAnswer.Orders]. */
    @Serializable
    public data class ReadOrders(public val upstream: InstanceName) : CoordinationQuery

    /** Reads the revision, target versions and draining instances. Answered by [CoordinationAnswer.Overview]. */
    @Serializable
    public data object ReadOverview : CoordinationQuery

    /** Reads at most [limit] accepted edits after [afterRevision]. Answered by [CoordinationAnswer.History]. */
    @Serializable
    public data class ReadHistory(
        public val afterRevision: Long = 0,
        public val limit: Int = 100,
    ) : CoordinationQuery
}
