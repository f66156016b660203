package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.ModelName
import org.zinniahoist.model.WeightVersion
import kotlin.time.Duration

/** Snapshot of the upstreams of a model. */
public data class ModelUpstreams(
    public val model: ModelName,
    /** Newest published weight version, or null before the first one is published. */
    public val newest: WeightVersion?,
    /** Number of upstreams that are assigned to the model and load its new weights. */
    public val homes: Int,
    /** Fractional number of upstreams due to the model by demand. */
    public val share: Double,
    /** Number of listed upstreams that hold the newest weights, as far as known. */
    public val current: Int,
    /** Number of weight loads of the model in progress. */
    public val loads: Int,
)

/** Snapshot of the unfinished items of a model. */
public data class ModelBacklog(
    public val running: Int = 0,
    public val waiting: Int = 0,
    /** Expected tokens of all unfinished items. */
    public val tokens: Long = 0,
    /** Longest waiting time of any item, measured from its submission or its last event. */
    public val oldestWait: Duration = Duration.ZERO,
)

/** Run statistics of an item that is unfinished after the due time of its job. */
public data class OverdueItem(
    public val key: ItemKey,
    /** Upstream that runs the item, or null while it waits. */
    public val upstream: String?,
    /** Number of events received so far. */
    public val events: Int,
    /** Number of runs started for the item. */
    public val runs: Int,
    /** Number of runs that the dispatcher aborted to move the item to another upstream. */
    public val moves: Int,
    /** Number of [RunEnd.Failed] runs. */
    public val failures: Int,
    /** Number of consecutive runs that broke without an event. */
    public val consecutiveEmptyRuns: Int,
)

/** A job with unfinished items after its due time. */
public data class OverdueJob(
    public val job: String,
    public val running: Int,
    public val waiting: Int,
    /** The item with the fewest events. */
    public val slowest: OverdueItem,
)
