package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.ModelName
import org.zinniahoist.model.WeightVersion
import kotlin.time.Duration

/** The upstreams of one model at one moment. */
public data class ModelUpstreams(
    public val model: ModelName,
    /** Newest named weights, or null before the first name. */
    public val newest: WeightVersion?,
    /** Upstreams that get new weights of the model. */
    public val homes: Int,
    /** Number of homes for which the work of the model calls. */
    public val share: Double,
    /** Upstreams of the list that are believed to hold the newest weights. */
    public val current: Int,
    /** Orders to load weights of the model that are in progress. */
    public val loads: Int,
)

/** The open items of one model at one moment. */
public data class ModelWork(
    public val running: Int = 0,
    public val waiting: Int = 0,
    /** Expected tokens of all items without a result. */
    public val tokens: Long = 0,
    /** Time since the oldest waiting item was handed in or had its last event. */
    public val oldestWait: Duration = Duration.ZERO,
)

/** An item that has no result after its job was due. */
public data class LateItem(
    public val key: ItemKey,
    /** Upstream that runs the item, or null while it waits. */
    public val upstream: String?,
    /** Events received so far. */
    public val events: Int,
    /** Runs that were started for the item. */
    public val runs: Int,
    /** Runs that were moved to another upstream while they went on. */
    public val moves: Int,
    /** Answers of an upstream that it failed. */
    public val failures: Int,
    /** Runs since the last event that broke without one. */
    public val fruitlessRuns: Int,
)

/** A job that is due and has items without a result. */
public data class LateJob(
    public val job: String,
    public val running: Int,
    public val waiting: Int,
    /** The item with the fewest events. */
    public val slowest: LateItem,
)
