package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.model.WeightVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Brings the upstreams of each model to its newest named weights, a few at a time: first those that lack most
 * versions,
 * among these the idlest. Upstreams whose weights the work still allows are not interrupted once half of them are new.
 *
 * Each order names the number of orders accepted before, so that one that is carried out late has no effect.
 */
public class WeightLoader(
    private val board: UpstreamBoard,
    private val loadTime: Duration = LOAD_TIME,
) {
    private val targets = LinkedHashMap<ModelName, WeightVersion>()
    private val loads = LinkedHashMap<UpstreamIdentity, WeightLoad>()
    private val rests = HashMap<UpstreamIdentity, Rest>()
    private val homes = ModelHomes(board)

    /** Names the newest weights of [model]. */
    public fun onNamed(model: ModelName, version: WeightVersion) {
        val present = targets[model]
        if (present == null || version > present) targets[model] = version
    }

    /** Forgets all loads, because this process no longer decides. */
    public fun clear() {
        loads.values.toList().forEach(::finish)
        rests.clear()
    }

    /**
     * Returns what to do at [now].
     *
     * @param demand what the jobs of a model ask of the upstreams, which are divided among several models by it.
     * @param modeOf how the runs of a model are treated.
     */
    public fun tick(
        now: Moment,
        demand: (ModelName) -> ModelDemand = { ModelDemand() },
        modeOf: (ModelName) -> LoadMode,
    ): List<LoadAction> {
        loads.values.filter { board.card(it.card.listed.identity) !== it.card }.forEach(::finish)
        rests.keys.removeIf { board.card(it) == null }
        homes.assign(targets) { demand(it).tokens }
        val actions = loads.values.mapNotNull { advance(it, now, modeOf) }
        return actions + begin(now, targets.keys.associateWith { demand(it).minimumVersion })
    }

    /** Returns what each named model has of the upstreams. */
    public fun upstreamsOfModels(): List<ModelUpstreams> = targets.map { (model, newest) ->
        ModelUpstreams(
            model = model,
            newest = newest,
            homes = homes.count(model),
            share = homes.share(model),
            current = board.all.count { card -> card.version(model)?.let { it >= newest } == true },
            loads = loads.values.count { it.model == model },
        )
    }

    private fun begin(now: Moment, minimums: Map<ModelName, WeightVersion?>): List<LoadAction> {
        val candidates = targets.flatMap { (model, version) -> candidates(model, version, now) }
            .sortedWith(compareBy({ -it.behind }, { it.runs }))
        val actions = ArrayList<LoadAction>()
        for (candidate in candidates) {
            if (loads.size >= limitOf(homes.total, SHARE_AT_ONCE)) break
            val others = loads.values.count { it.model == candidate.model }
            if (others >= limitOf(homes.count(candidate.model), SHARE_OF_MODEL_AT_ONCE)) continue
            if (isSparedFor(candidate, minimums[candidate.model])) continue
            val upstream = candidate.card.listed
            loads[upstream.identity] = WeightLoad(candidate.card, candidate.model, candidate.version, askedAt = now)
            actions += LoadAction.ReadReport(upstream)
        }
        return actions
    }

    /**
     * Returns true if the upstream of [candidate] goes on under its weights, which the newest job of the model allows.
     *
     * Each load stops the runs of its model for about a second. Where weights are allowed that are older than the
     * newest, it is enough if half of a model's upstreams get each version. One that lacks more versions is not
     * spared, as the next job will hardly allow its weights.
     */
    private fun isSparedFor(candidate: Candidate, minimum: WeightVersion?): Boolean {
        val held = candidate.card.version(candidate.model) ?: return false
        if (minimum == null || held < minimum) return false
        if (candidate.behind > 1 || candidate.runs == 0) return false
        val current = board.all.count { card ->
            homes.isHome(card, candidate.model) &&
                card.version(candidate.model)?.let { it >= candidate.version } == true
        }
        val coming = loads.values.count { it.model == candidate.model && it.version >= candidate.version }
        return current + coming >= homes.count(candidate.model) * SHARE_OF_NEWEST
    }

    private fun limitOf(upstreams: Int, share: Double): Int = (upstreams * share).toInt().coerceAtLeast(LEAST_AT_ONCE)

    private fun candidates(model: ModelName, version: WeightVersion, now: Moment): List<Candidate> = board.all
        .filter { homes.isHome(it, model) && it.listed.identity !in loads }
        .filter { !board.isSuspended(it, now) && !isResting(it, now) }
        .map { Candidate(it, model, version, ModelHomes.versionsBehind(it, model, version)) }
        .filter { it.behind > 0 }

    private fun isResting(card: UpstreamCard, now: Moment): Boolean =
        rests[card.listed.identity]?.let { now < it.until } == true

    private fun advance(load: WeightLoad, now: Moment, modeOf: (ModelName) -> LoadMode): LoadAction? {
        val report = load.report
        val orderedAt = load.orderedAt
        return when {
            report != null && orderedAt == null && !report.isBusy -> order(load, report, now, modeOf)

            now < load.nextQuestion(loadTime) -> null

            else -> {
                load.askedAt = now
                LoadAction.ReadReport(load.card.listed)
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
        load.askedAt = now
        load.card.isLoading = true
        val mode = modeOf(load.model)
        return LoadAction.Order(load.card.listed, load.model, load.version, mode, report.acceptedOrders)
    }

    /** The report for which an upstream was asked at [askedAt] is handled at [now], or null if it can't be had. */
    public fun onReport(
        upstream: UpstreamIdentity,
        report: UpstreamReport?,
        now: Moment,
        askedAt: Moment = now,
    ) {
        val load = loads[upstream] ?: return
        if (report == null) {
            load.misses++
            if (load.misses >= MISSES_BEFORE_GIVING_UP) abandon(load, now)
            return
        }
        load.misses = 0
        report.versions.forEach { (model, version) -> load.card.observeVersion(model, version) }
        val reached = (report.versions[load.model] ?: load.version) >= load.version
        when {
            reached && !report.isBusy -> succeed(load)
            load.orderedAt == null -> load.report = report
            !report.isBusy && isLost(load, report, askedAt) -> orderAgainOrRest(load, report, now)
        }
    }

    /** One lost order is given again at once. After more, the upstream works under its old weights for a while. */
    private fun orderAgainOrRest(load: WeightLoad, report: UpstreamReport, now: Moment) {
        val identity = load.card.listed.identity
        val rested = rests[identity]?.times ?: 0
        if (rested == 0 && !load.isRepeated) return load.restart(report)
        val pause = FIRST_REST * (1 shl rested.coerceAtMost(MAXIMUM_DOUBLINGS))
        rests[identity] = Rest(rested + 1, until = now + pause)
        finish(load)
    }

    /**
     * An order that was accepted shows in the number of orders; the report lags a little. One that was asked for before
     * this lag had passed shows nothing, however late it is handled.
     */
    private fun isLost(load: WeightLoad, report: UpstreamReport, askedAt: Moment): Boolean {
        val orderedAt = load.orderedAt ?: return false
        val before = load.report?.acceptedOrders ?: return true
        return report.acceptedOrders != before || askedAt - orderedAt >= REPORT_LAG
    }

    /** The upstream answered an order. */
    public fun onOrderAnswer(upstream: UpstreamIdentity, answer: OrderAnswer, now: Moment) {
        val load = loads[upstream] ?: return
        when (answer) {
            OrderAnswer.ACCEPTED -> load.orderedAt = now
            OrderAnswer.HOLDS_ALREADY -> succeed(load.also { it.card.observeVersion(it.model, it.version) })
            OrderAnswer.CONFLICT, OrderAnswer.STALE_FENCE -> abandon(load, now)
            OrderAnswer.UNKNOWN -> Unit
        }
    }

    private fun succeed(load: WeightLoad) {
        rests.remove(load.card.listed.identity)
        finish(load)
    }

    private fun finish(load: WeightLoad) {
        loads.remove(load.card.listed.identity)
        load.card.isLoading = false
    }

    private fun abandon(load: WeightLoad, now: Moment) {
        finish(load)
        board.onFailure(load.card.listed.identity, now)
    }

    private class Candidate(
        val card: UpstreamCard,
        val model: ModelName,
        val version: WeightVersion,
        val behind: Long,
    ) {
        /** Runs that the load would stop. */
        val runs: Int get() = card.inFlight(model)
    }

    /** The [times] that an upstream was left alone after lost orders, and the end of the last time. */
    private class Rest(
        val times: Int,
        val until: Moment,
    )

    private companion object {
        /** Loading rarely takes less, so an earlier question would only cost. */
        val LOAD_TIME = 900.milliseconds

        /** An order that a report doesn't show after this time was not accepted. */
        val REPORT_LAG = 1_500.milliseconds
        const val MISSES_BEFORE_GIVING_UP = 3

        /** Doubled with each further lost order, up to 4 s. */
        val FIRST_REST = 500.milliseconds
        const val MAXIMUM_DOUBLINGS = 3

        /** Share of the upstreams that the weight store serves without slowing down. */
        const val SHARE_AT_ONCE = 0.3

        /** The other half of a model's upstreams goes on working. */
        const val SHARE_OF_MODEL_AT_ONCE = 0.5
        const val LEAST_AT_ONCE = 2

        /** Share of a model's upstreams that get the newest weights even if they have to interrupt runs for them. */
        const val SHARE_OF_NEWEST = 0.5
    }
}
