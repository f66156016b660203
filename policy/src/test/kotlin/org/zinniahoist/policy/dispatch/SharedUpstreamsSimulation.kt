package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.WeightVersion
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Fault injected into a [SharedUpstreamsSimulation]. */
internal sealed interface Fault {
    /** Time since the start of the simulation. */
    val at: Duration

    /** The leader fails. After [gap] a new leader takes over the open jobs with their recorded texts. */
    data class LeaderFailure(
        override val at: Duration,
        val gap: Duration,
    ) : Fault

    /** A [share] of the upstreams is down for [duration]. */
    data class UpstreamsDown(
        override val at: Duration,
        val share: Double,
        val duration: Duration,
    ) : Fault

    /** The event interval of a [share] of the upstreams is multiplied by [slowness] for [duration]. */
    data class UpstreamsSlow(
        override val at: Duration,
        val share: Double,
        val duration: Duration,
        val slowness: Double,
    ) : Fault
}

/** Simulates several trainers on shared upstreams in virtual time, with the production dispatcher and weight loader. */
internal class SharedUpstreamsSimulation(
    plans: List<TrainerPlan>,
    seed: Int,
    faults: List<Fault>,
    upstreams: Int = 28,
    slots: Int = 8,
) {
    private val random = Random(seed)
    private val models = plans.map { it.model }
    private val upstreams = (1..upstreams).map { SimulatedUpstream("u$it", slots, models) }.associateBy { it.identity }
    val trainers = plans.mapIndexed { index, plan -> SimulatedTrainer(plan, seed * 100 + index) }
    private val pending = faults.sortedBy { it.at }.toMutableList()
    private val recoveries = ArrayList<Recovery>()
    private val work = RecentDemandTracker()

    /** Texts recorded in the replicated state. */
    private val recordedTexts = HashMap<ItemKey, ItemText>()
    private var leader: SimulatedLeader? = SimulatedLeader(Moment.ZERO)
    private var now = Moment.ZERO

    /** Runs the simulation and returns the share of its worth that each model earned. */
    fun simulate(): Map<ModelName, Double> {
        while (now < Moment.ZERO + SimulatedTrainer.LAST_SUBMISSION + DRAIN_DURATION) {
            injectDueFaults()
            leader?.tick()
            upstreams.values.filterNot { it.isDown }.forEach { up -> up.advance(now) { onEvent(up, it) } }
            trainers.forEach(::train)
            now += TICK
        }
        return trainers.associate { it.plan.model to it.earned() }
    }

    private fun train(trainer: SimulatedTrainer) {
        trainer.publishAt(now)?.let { leader?.loader?.onPublished(trainer.plan.model, WeightVersion(it)) }
        val present = leader ?: return
        trainer.endedAt(now).forEach { end(present, it) }
        trainer.submitAt(now)?.let { step ->
            work.onSubmitted(trainer.jobWork(step), now)
            present.submit(trainer, step)
        }
    }

    private fun end(present: SimulatedLeader, step: SimulatedStep) {
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
        execute(actions)
    }

    private fun abort(action: DispatchAction.Abort) = upstreams.values.forEach { it.runs.remove(action.run) }

    private fun execute(actions: List<DispatchAction>) {
        for (action in actions) {
            when (action) {
                is DispatchAction.Start -> start(action)
                is DispatchAction.Abort -> abort(action)
                is DispatchAction.RecordFailure -> error("no run fails here")
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
        val run = SimulatedRun(action.run, step.plan.model, events, first.toInt(), now + upstream.eventInterval())
        val end = when {
            upstream.isDown -> RunEnd.Broken("refused")
            upstream.start(run) -> null
            else -> RunEnd.NotRun
        }
        if (end != null) leader?.dispatcher?.onEnd(action.run, end, now)
    }

    private fun injectDueFaults() {
        val due = recoveries.filter { now >= it.at }
        recoveries.removeAll(due)
        due.forEach { it.action() }
        while (pending.isNotEmpty() && now >= Moment.ZERO + pending.first().at) inject(pending.removeAt(0))
    }

    private fun inject(fault: Fault) = when (fault) {
        is Fault.LeaderFailure -> {
            leader = null
            upstreams.values.forEach { it.runs.clear() }
            scheduleRecovery(fault.gap) { leader = SimulatedLeader(now).also(::takeOver) }
        }

        is Fault.UpstreamsDown -> sampleUpstreams(fault.share).forEach { upstream ->
            upstream.isDown = true
            val broken = upstream.runs.keys.toList()
            upstream.runs.clear()
            broken.forEach { leader?.dispatcher?.onEnd(it, RunEnd.Broken("crashed"), now) }
            scheduleRecovery(fault.duration) { upstream.isDown = false }
        }

        is Fault.UpstreamsSlow -> sampleUpstreams(fault.share).forEach { upstream ->
            upstream.slowness = fault.slowness
            scheduleRecovery(fault.duration) { upstream.slowness = 1.0 }
        }
    }

    private fun sampleUpstreams(share: Double) =
        upstreams.values.shuffled(random).take((upstreams.size * share).toInt())

    private fun scheduleRecovery(duration: Duration, action: () -> Unit) {
        recoveries += Recovery(now + duration, action)
    }

    private fun takeOver(next: SimulatedLeader) {
        trainers.forEach { next.loader.onPublished(it.plan.model, WeightVersion(it.newest)) }
        trainers.forEach { trainer ->
            trainer.steps.filter { it.endedAt == null }.forEach { next.submit(trainer, it) }
        }
    }

    /** Dispatcher and loader of one leader, which inherits only the job records and recorded texts. */
    private inner class SimulatedLeader(private val since: Moment) {
        val dispatcher = ItemDispatcher()
        val loader = WeightLoader(dispatcher.registry)
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
                dispatcher.registry.relist(upstreams.values.map { it.listed() })
            }
            execute(dispatcher.tick(now))
            dispatcher.texts(RECORDED_EVENTS).forEach { (key, text) -> record(key, text) }
            if (now - since < ORDER_LEASE && since > Moment.ZERO) return
            loader.tick(now, { work.demand(it, now) }) { LoadMode.KEEP }.forEach(::executeLoad)
        }

        private fun record(key: ItemKey, text: ItemText) {
            val recorded = recordedTexts[key]?.lastNumber ?: 0
            if (text.events.size - recorded >= RECORDED_EVENTS) recordedTexts[key] = text
        }

        private fun executeLoad(action: LoadAction) = when (action) {
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
        val DRAIN_DURATION = 8.seconds
    }
}
