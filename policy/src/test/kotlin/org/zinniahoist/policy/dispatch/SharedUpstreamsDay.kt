package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.WeightVersion
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Trouble of a [SharedUpstreamsDay]. */
internal sealed interface DayTrouble {
    /** Time since the start of the day. */
    val at: Duration

    /** The leader is lost, and another one takes the open jobs over after [gap], with the texts that are recorded. */
    data class LeaderLost(
        override val at: Duration,
        val gap: Duration,
    ) : DayTrouble

    /** A share of the upstreams is down for [span]. */
    data class UpstreamsDown(
        override val at: Duration,
        val share: Double,
        val span: Duration,
    ) : DayTrouble

    /** A share of the upstreams is slow for [span]. */
    data class UpstreamsSlow(
        override val at: Duration,
        val share: Double,
        val span: Duration,
        val slowness: Double,
    ) : DayTrouble
}

/** Plays several trainers on shared upstreams in virtual time, with the decisions of the leader that serve. */
internal class SharedUpstreamsDay(
    plans: List<TrainerPlan>,
    seed: Int,
    troubles: List<DayTrouble>,
    upstreams: Int = 28,
    slots: Int = 8,
) {
    private val random = Random(seed)
    private val models = plans.map { it.model }
    private val upstreams = (1..upstreams).map { SimulatedUpstream("u$it", slots, models) }.associateBy { it.identity }
    val trainers = plans.mapIndexed { index, plan -> SimulatedTrainer(plan, seed * 100 + index) }
    private val pending = troubles.sortedBy { it.at }.toMutableList()
    private val recoveries = ArrayList<Recovery>()
    private val work = RecentWork()

    /** Texts as the replicated state holds them. */
    private val recordedTexts = HashMap<ItemKey, ItemText>()
    private var leader: DayLeader? = DayLeader(Moment.ZERO)
    private var now = Moment.ZERO

    /** Plays the day and returns the share of its worth that each model earned in time. */
    fun play(): Map<ModelName, Double> {
        while (now < Moment.ZERO + SimulatedTrainer.LAST_ASK + AFTER) {
            trouble()
            leader?.tick()
            upstreams.values.filterNot { it.isDown }.forEach { up -> up.advance(now) { onEvent(up, it) } }
            trainers.forEach(::train)
            now += TICK
        }
        return trainers.associate { it.plan.model to it.earned() }
    }

    private fun train(trainer: SimulatedTrainer) {
        trainer.nameAt(now)?.let { leader?.loader?.onNamed(trainer.plan.model, WeightVersion(it)) }
        val present = leader ?: return
        trainer.endedAt(now).forEach { end(present, it) }
        trainer.askAt(now)?.let { step ->
            work.onSubmitted(trainer.jobWork(step), now)
            present.submit(trainer, step)
        }
    }

    private fun end(present: DayLeader, step: SimulatedStep) {
        work.onEnded(step.job)
        present.dispatcher.cancelJob(step.job).aborts.forEach(::abort)
    }

    private fun onEvent(upstream: SimulatedUpstream, run: SimulatedRun) {
        val dispatcher = leader?.dispatcher ?: return
        val version = upstream.versions.getValue(run.model)
        val actions = ArrayList<DispatchAction>()
        if (!run.hasBegun) actions += dispatcher.onBegin(run.number, version, now)
        run.hasBegun = true
        actions += dispatcher.onEvent(run.number, run.nextEvent.toLong(), "x", version, now)
        run.nextEvent++
        if (run.nextEvent > run.events) {
            upstream.runs.remove(run.number)
            actions += dispatcher.onEnd(run.number, RunEnd.Completed, now)
        }
        carryOut(actions)
    }

    private fun abort(action: DispatchAction.Abort) = upstreams.values.forEach { it.runs.remove(action.run) }

    private fun carryOut(actions: List<DispatchAction>) {
        for (action in actions) {
            when (action) {
                is DispatchAction.Start -> start(action)
                is DispatchAction.Abort -> abort(action)
                is DispatchAction.Finish -> step(action.key)?.done?.add(action.key.item)
            }
        }
    }

    private fun step(key: ItemKey): SimulatedStep? = trainers.flatMap { it.steps }.find { it.job == key.job }

    private fun start(action: DispatchAction.Start) {
        val upstream = upstreams.getValue(action.upstream.identity)
        val step = step(action.key) ?: return
        val first = (action.afterEvent ?: 0) + 1
        val events = step.items.getValue(action.key.item)
        val run = SimulatedRun(action.run, step.plan.model, events, first.toInt(), now + upstream.pace())
        val end = when {
            upstream.isDown -> RunEnd.Broken("refused")
            upstream.start(run) -> null
            else -> RunEnd.NotRun
        }
        if (end != null) leader?.dispatcher?.onEnd(action.run, end, now)
    }

    private fun trouble() {
        val due = recoveries.filter { now >= it.at }
        recoveries.removeAll(due)
        due.forEach { it.action() }
        while (pending.isNotEmpty() && now >= Moment.ZERO + pending.first().at) begin(pending.removeAt(0))
    }

    private fun begin(trouble: DayTrouble) = when (trouble) {
        is DayTrouble.LeaderLost -> {
            leader = null
            upstreams.values.forEach { it.runs.clear() }
            after(trouble.gap) { leader = DayLeader(now).also(::takeOver) }
        }

        is DayTrouble.UpstreamsDown -> draw(trouble.share).forEach { upstream ->
            upstream.isDown = true
            val broken = upstream.runs.keys.toList()
            upstream.runs.clear()
            broken.forEach { leader?.dispatcher?.onEnd(it, RunEnd.Broken("crashed"), now) }
            after(trouble.span) { upstream.isDown = false }
        }

        is DayTrouble.UpstreamsSlow -> draw(trouble.share).forEach { upstream ->
            upstream.slowness = trouble.slowness
            after(trouble.span) { upstream.slowness = 1.0 }
        }
    }

    private fun draw(share: Double) = upstreams.values.shuffled(random).take((upstreams.size * share).toInt())

    private fun after(span: Duration, action: () -> Unit) {
        recoveries += Recovery(now + span, action)
    }

    private fun takeOver(next: DayLeader) {
        trainers.forEach { next.loader.onNamed(it.plan.model, WeightVersion(it.named)) }
        trainers.forEach { trainer ->
            trainer.steps.filter { it.endedAt == null }.forEach { next.submit(trainer, it) }
        }
    }

    /** The decisions of one leader, which knows nothing of the one before it but the record of the jobs. */
    private inner class DayLeader(private val since: Moment) {
        val dispatcher = ItemDispatcher()
        val loader = WeightLoader(dispatcher.board)
        private var listedAt: Moment? = null

        fun submit(trainer: SimulatedTrainer, step: SimulatedStep) = dispatcher.submit(
            step.items.keys.filter { it !in step.done }.map { item ->
                val work = trainer.work(step, item, now)
                work.copy(text = recordedTexts[work.key] ?: ItemText())
            },
        )

        fun tick() {
            if (listedAt?.let { now - it < LIST_INTERVAL } != true) {
                listedAt = now
                dispatcher.board.relist(upstreams.values.map { it.listed() })
            }
            carryOut(dispatcher.tick(now))
            dispatcher.texts(RECORDED_EVENTS).forEach { (key, text) -> record(key, text) }
            if (now - since < ORDER_LEASE && since > Moment.ZERO) return
            loader.tick(now, { work.demand(it, now) }) { LoadMode.KEEP }.forEach(::carryOutLoad)
        }

        private fun record(key: ItemKey, text: ItemText) {
            val recorded = recordedTexts[key]?.lastNumber ?: 0
            if (text.events.size - recorded >= RECORDED_EVENTS) recordedTexts[key] = text
        }

        private fun carryOutLoad(action: LoadAction) = when (action) {
            is LoadAction.ReadReport -> {
                val upstream = upstreams.getValue(action.upstream.identity)
                loader.onReport(upstream.identity, upstream.takeUnless { it.isDown }?.report(), now)
            }

            is LoadAction.Order -> {
                val upstream = upstreams.getValue(action.upstream.identity)
                val answer = if (upstream.isDown) OrderAnswer.UNKNOWN else upstream.order(action, now)
                loader.onOrderAnswer(upstream.identity, answer, now)
            }
        }
    }

    private class Recovery(
        val at: Moment,
        val action: () -> Unit,
    )

    private companion object {
        val TICK = 20.milliseconds
        const val RECORDED_EVENTS = 20
        val LIST_INTERVAL = 1.seconds
        val ORDER_LEASE = 3.seconds
        val AFTER = 8.seconds
    }
}
