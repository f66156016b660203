package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.model.WeightVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Rolls out the newest published weights of each model to the upstreams assigned to it, a few at a time.
 *
 * Upstreams that are the most versions behind load first, among these the ones with the fewest runs. Once half of the
 * upstreams of a model have the newest version, the others keep working as long as open jobs allow their weights.
 *
 * Each order states how many orders the upstream has accepted before, so that the upstream rejects a delayed order.
 */
public class WeightLoader(
    private val registry: UpstreamRegistry,
    private val loadTime: Duration = LOAD_TIME,
) {
    private val targets = LinkedHashMap<ModelName, WeightVersion>()
    private val loads = LinkedHashMap<UpstreamIdentity, WeightLoad>()
    private val backoffs = HashMap<UpstreamIdentity, Backoff>()
    private val assignments = ModelAssignments(registry)

    /** Sets [version] as the rollout target of [model], unless the target is newer already. */
    public fun onPublished(model: ModelName, version: WeightVersion) {
        val present = targets[model]
        if (present == null || version > present) targets[model] = version
    }

    /** Discards all loads after this process has lost the leadership. */
    public fun clear() {
        loads.values.toList().forEach(::finish)
        backoffs.clear()
    }

    /**
     * Advances the loads in progress, starts new ones, and returns the actions to execute at [now].
     *
     * @param demand returns the demand for a model, by which upstreams are assigned to models.
     * @param modeOf returns how a load treats the running requests of a model.
     */
    public fun tick(
        now: Moment,
        demand: (ModelName) -> ModelDemand = { ModelDemand() },
        modeOf: (ModelName) -> LoadMode,
    ): List<LoadAction> {
        loads.values.filter { registry.tracked(it.tracked.listed.identity) !== it.tracked }.forEach(::finish)
        backoffs.keys.removeIf { registry.tracked(it) == null }
        assignments.assign(targets) { demand(it).tokens }
        val actions = loads.values.mapNotNull { advance(it, now, modeOf) }
        return actions + startLoads(now, targets.keys.associateWith { demand(it).minimumVersion })
    }

    /** Returns a snapshot of the upstreams of each model that has a published version. */
    public fun modelUpstreams(): List<ModelUpstreams> = targets.map { (model, newest) ->
        ModelUpstreams(
            model = model,
            newest = newest,
            homes = assignments.count(model),
            share = assignments.share(model),
            current = registry.all.count { tracked -> tracked.version(model)?.let { it >= newest } == true },
            loads = loads.values.count { it.model == model },
        )
    }

    private fun startLoads(now: Moment, minimums: Map<ModelName, WeightVersion?>): List<LoadAction> {
        val candidates = targets.flatMap { (model, version) -> candidates(model, version, now) }
            .sortedWith(compareBy({ -it.behind }, { it.runs }))
        val actions = ArrayList<LoadAction>()
        for (candidate in candidates) {
            if (loads.size >= loadLimit(assignments.assignedUpstreams, CONCURRENT_LOAD_SHARE)) break
            val others = loads.values.count { it.model == candidate.model }
            if (others >= loadLimit(assignments.count(candidate.model), CONCURRENT_LOAD_SHARE_OF_MODEL)) continue
            if (isDeferred(candidate, minimums[candidate.model])) continue
            val upstream = candidate.tracked.listed
            loads[upstream.identity] =
                WeightLoad(candidate.tracked, candidate.model, candidate.version, requestedAt = now)
            actions += LoadAction.ReadReport(upstream)
        }
        return actions
    }

    /**
     * Returns true if the load of [candidate] is deferred because the newest job of the model allows its present
     * weights.
     *
     * Each load stops the runs of its model for about a second. Where jobs allow older weights than the newest, it
     * suffices that half of a model's upstreams load each version. An upstream that is more than one version behind is
     * not deferred, because the next job is unlikely to allow its weights.
     */
    private fun isDeferred(candidate: Candidate, minimum: WeightVersion?): Boolean {
        val held = candidate.tracked.version(candidate.model) ?: return false
        if (minimum == null || held < minimum) return false
        if (candidate.behind > 1 || candidate.runs == 0) return false
        val current = registry.all.count { tracked ->
            assignments.isAssigned(tracked, candidate.model) &&
                tracked.version(candidate.model)?.let { it >= candidate.version } == true
        }
        val inProgress = loads.values.count { it.model == candidate.model && it.version >= candidate.version }
        return current + inProgress >= assignments.count(candidate.model) * NEWEST_VERSION_SHARE
    }

    private fun loadLimit(upstreams: Int, share: Double): Int =
        (upstreams * share).toInt().coerceAtLeast(MINIMUM_CONCURRENT_LOADS)

    private fun candidates(model: ModelName, version: WeightVersion, now: Moment): List<Candidate> = registry.all
        .filter { assignments.isAssigned(it, model) && it.listed.identity !in loads }
        .filter { !registry.isSuspended(it, now) && !isBackingOff(it, now) }
        .map { Candidate(it, model, version, ModelAssignments.versionsBehind(it, model, version)) }
        .filter { it.behind > 0 }

    private fun isBackingOff(tracked: TrackedUpstream, now: Moment): Boolean =
        backoffs[tracked.listed.identity]?.let { now < it.until } == true

    private fun advance(load: WeightLoad, now: Moment, modeOf: (ModelName) -> LoadMode): LoadAction? {
        val report = load.report
        val orderedAt = load.orderedAt
        return when {
            report != null && orderedAt == null && !report.isBusy -> order(load, report, now, modeOf)

            now < load.nextReportAt(loadTime) -> null

            else -> {
                load.requestedAt = now
                LoadAction.ReadReport(load.tracked.listed)
            }
        }
    }

    private fun order(
        load: WeightLoad,
        report: UpstreamReport,
        now: Moment,
        modeOf: (ModelName) -> LoadMode,
    ): LoadAction {
        load.orderedAt = now
        load.requestedAt = now
        load.tracked.isLoading = true
        val mode = modeOf(load.model)
        return LoadAction.Order(load.tracked.listed, load.model, load.version, mode, report.acceptedOrders)
    }

    /** Handles, at [now], the [report] requested from [upstream] at [requestedAt], or null if the request failed. */
    public fun onReport(
        upstream: UpstreamIdentity,
        report: UpstreamReport?,
        now: Moment,
        requestedAt: Moment = now,
    ) {
        val load = loads[upstream] ?: return
        if (report == null) {
            load.failedReports++
            if (load.failedReports >= MAXIMUM_FAILED_REPORTS) abandon(load, now)
            return
        }
        load.failedReports = 0
        report.versions.forEach { (model, version) -> load.tracked.observeVersion(model, version) }
        val reached = (report.versions[load.model] ?: load.version) >= load.version
        when {
            reached && !report.isBusy -> complete(load)
            load.orderedAt == null -> load.report = report
            !report.isBusy && isLost(load, report, requestedAt) -> retryOrBackOff(load, report, now)
        }
    }

    /** Repeats the first lost order at once. After another loss the upstream backs off and serves its old weights. */
    private fun retryOrBackOff(load: WeightLoad, report: UpstreamReport, now: Moment) {
        val identity = load.tracked.listed.identity
        val previousBackoffs = backoffs[identity]?.count ?: 0
        if (previousBackoffs == 0 && !load.isRetry) return load.retry(report)
        val pause = INITIAL_BACKOFF * (1 shl previousBackoffs.coerceAtMost(MAXIMUM_DOUBLINGS))
        backoffs[identity] = Backoff(previousBackoffs + 1, until = now + pause)
        finish(load)
    }

    /**
     * Returns true if [report] shows that the order of [load] had no effect.
     *
     * An accepted order raises the reported number of orders after a short lag. An unchanged number proves a loss only
     * if the report was requested after that lag, no matter when the report is handled.
     */
    private fun isLost(load: WeightLoad, report: UpstreamReport, requestedAt: Moment): Boolean {
        val orderedAt = load.orderedAt ?: return false
        val before = load.report?.acceptedOrders ?: return true
        return report.acceptedOrders != before || requestedAt - orderedAt >= REPORT_LAG
    }

    /** Handles the [answer] of [upstream] to a load order. */
    public fun onOrderAnswer(upstream: UpstreamIdentity, answer: OrderAnswer, now: Moment) {
        val load = loads[upstream] ?: return
        when (answer) {
            OrderAnswer.ACCEPTED -> load.orderedAt = now
            OrderAnswer.HOLDS_ALREADY -> complete(load.also { it.tracked.observeVersion(it.model, it.version) })
            OrderAnswer.CONFLICT, OrderAnswer.STALE_FENCE -> abandon(load, now)
            OrderAnswer.UNKNOWN -> Unit
        }
    }

    private fun complete(load: WeightLoad) {
        backoffs.remove(load.tracked.listed.identity)
        finish(load)
    }

    private fun finish(load: WeightLoad) {
        loads.remove(load.tracked.listed.identity)
        load.tracked.isLoading = false
    }

    private fun abandon(load: WeightLoad, now: Moment) {
        finish(load)
        registry.onFailure(load.tracked.listed.identity, now)
    }

    private class Candidate(
        val tracked: TrackedUpstream,
        val model: ModelName,
        val version: WeightVersion,
        val behind: Long,
    ) {
        /** Number of runs that the load would interrupt. */
        val runs: Int get() = tracked.inFlight(model)
    }

    /** Back-off of an upstream after lost orders: the number of back-offs so far and the end of the latest one. */
    private class Backoff(
        val count: Int,
        val until: Moment,
    )

    private companion object {
        /** Time from an order to the first report request. Loads rarely finish earlier. */
        val LOAD_TIME = 900.milliseconds

        /** An order that a report does not show after this time was not accepted. */
        val REPORT_LAG = 1_500.milliseconds
        const val MAXIMUM_FAILED_REPORTS = 3

        /** Doubled with each further lost order, up to 4 s. An upstream in back-off receives no orders. */
        val INITIAL_BACKOFF = 500.milliseconds
        const val MAXIMUM_DOUBLINGS = 3

        /** Share of the upstreams that the weight store can serve concurrently without slowing down. */
        const val CONCURRENT_LOAD_SHARE = 0.3

        /** The other half of a model's upstreams keeps serving requests. */
        const val CONCURRENT_LOAD_SHARE_OF_MODEL = 0.5
        const val MINIMUM_CONCURRENT_LOADS = 2

        /** Share of a model's upstreams that load the newest weights even if the load interrupts runs. */
        const val NEWEST_VERSION_SHARE = 0.5
    }
}
