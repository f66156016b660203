package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.Moment
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.model.WorkspaceName
import org.zinniahoist.policy.dispatch.DispatchFixture.START
import java.util.PriorityQueue
import kotlin.math.exp
import kotlin.math.roundToInt
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Item of the load with its true number of output tokens, of which the dispatcher knows an estimate only. */
internal class LoadItem(
    val job: Int,
    val name: String,
    val group: String,
    val prompt: Int,
    val output: Int,
    val isLong: Boolean,
    val submittedAt: Moment,
) {
    var firstEventAt: Moment? = null
    var finishedAt: Moment? = null
}

/** A job that each of [trainers] submits every [interval]: groups of items with equal prompts. */
internal data class LoadPlan(
    val trainers: Int = 1,
    val interval: Duration = 4.seconds,
    val jobs: Int = 4,
    val groups: Int = 7,
    val groupSize: Int = 8,
    val wantedShare: Double = 1.0,
    val shortPrompt: IntRange = 100..400,
    val longPrompt: IntRange = 4_000..6_000,
    val longShare: Double = 0.0,
    val meanOutput: Double = 80.0,
    val engines: Int = 33,
    val slots: Int = 8,
    val memory: Int = 1_000_000,
    val fault: MemoryFault = MemoryFault.PREEMPT,
    /** Share of the time in which an engine is [slowness] times slower, for [slowTime] at a time. */
    val slowShare: Double = 0.0,
    val slowness: Double = 2.5,
    val slowTime: Duration = 600.milliseconds,
    /** Priority and workspace of the jobs of a trainer. */
    val priority: (Int) -> Int = { 0 },
    val workspace: (Int) -> String? = { null },
)

/** Drives an [ItemDispatcher] with [EngineModel]s in virtual time. A seed gives the same load for any options. */
internal class EngineLoadSimulation(
    private val plan: LoadPlan,
    private val options: DispatchOptions,
    private val seed: Int,
) {
    private val random = Random(seed)
    private val engines = (0 until plan.engines).associate { number ->
        UpstreamIdentity("u$number") to EngineModel(plan.memory, plan.fault, slownessOf(number))
    }
    private val dispatcher = ItemDispatcher(options = options, random = Random(seed))
    private val byKey = HashMap<ItemKey, LoadItem>()
    private val byRun = HashMap<Long, EngineRequest>()
    private val openJobs = HashMap<Int, List<LoadItem>>()
    private val steps = PriorityQueue<Step>(compareBy<Step> { it.at }.thenBy { it.number })
    private var stepNumber = 0
    private var now = START
    val items: Collection<LoadItem> get() = byKey.values
    val crashes: Int get() = engines.values.sumOf { it.crashes }
    val preemptions: Int get() = engines.values.sumOf { it.preemptions }

    /** Complete groups of each trainer when its jobs were due. */
    val groupsInTime = HashMap<Int, Int>()

    /** Jobs that had all wanted groups when they were due. */
    var jobsInTime = 0

    private class Step(
        val at: Moment,
        val number: Int,
        val action: () -> Unit,
    )

    private fun slownessOf(number: Int): (Moment) -> Double {
        val episodes = Random(seed * 1_000 + number)
        val slow = HashMap<Long, Boolean>()
        return { at ->
            val index = ((at - START) / plan.slowTime).toLong()
            val isSlow = slow.getOrPut(index) { episodes.nextDouble() < plan.slowShare }
            if (isSlow) plan.slowness else 1.0
        }
    }

    /** Runs the load until each job has been submitted and is due. */
    fun run(): EngineLoadSimulation {
        val registry = dispatcher.registry
        registry.engineMemory = mapOf(DispatchFixture.item("x").service to plan.memory.toLong())
        registry.relist(engines.keys.map { DispatchFixture.upstream(it.value, plan.slots) })
        for (job in 0 until plan.jobs) {
            for (trainer in 0 until plan.trainers) {
                val at = START + plan.interval * job + plan.interval * trainer / plan.trainers
                schedule(at) { submit(job * plan.trainers + trainer, trainer) }
            }
        }
        val end = START + plan.interval * plan.jobs + DUE
        schedule(START) { tickUntil(end) }
        engines.forEach { (identity, engine) -> schedule(START) { iterate(identity, engine, end) } }
        while (true) {
            val step = steps.poll() ?: return this
            now = step.at
            step.action()
        }
    }

    private fun schedule(at: Moment, action: () -> Unit) {
        steps += Step(at, stepNumber++, action)
    }

    private fun tickUntil(end: Moment) {
        execute(dispatcher.tick(now))
        if (now < end) schedule(now + DispatchFixture.TICK) { tickUntil(end) }
    }

    private fun submit(job: Int, trainer: Int) {
        val items = (0 until plan.groups).flatMap { group(job, it) }
        openJobs[job] = items
        dispatcher.submit(items.map { work(it, trainer) })
        execute(dispatcher.place(now))
        schedule(now + DUE) { endJob(job, trainer, items) }
    }

    private fun group(job: Int, number: Int): List<LoadItem> {
        val isLong = random.nextDouble() < plan.longShare
        val range = if (isLong) plan.longPrompt else plan.shortPrompt
        val prompt = range.first + random.nextInt(range.last - range.first + 1)
        return (0 until plan.groupSize).map {
            val tail = if (random.nextDouble() < LONG_OUTPUT_SHARE) LONG_OUTPUT_FACTOR else 1.0
            val output = (plan.meanOutput * tail * (0.5 + random.nextDouble())).roundToInt().coerceAtLeast(2)
            LoadItem(job, "$job/$number/$it", "g$number", prompt, output, isLong, now)
        }
    }

    private fun work(item: LoadItem, trainer: Int): ItemWork {
        val key = ItemKey("job${item.job}", RequestIdentifier(item.name))
        byKey[key] = item
        val hint = item.output * exp(HINT_SPREAD * random.asJavaRandom().nextGaussian())
        return DispatchFixture.item(item.name).copy(
            key = key,
            dueAt = now + DUE,
            expiresAt = now + DUE * 8,
            group = item.group,
            expectedTokens = hint.roundToInt(),
            promptTokens = item.prompt,
            maximumOutput = MAXIMUM_OUTPUT,
            priority = plan.priority(trainer),
            workspace = plan.workspace(trainer)?.let(::WorkspaceName),
            wantedGroups = wantedGroups.takeIf { plan.wantedShare < 1 },
        )
    }

    private val wantedGroups = (plan.groups * plan.wantedShare).roundToInt()

    private fun endJob(job: Int, trainer: Int, items: List<LoadItem>) {
        if (openJobs.remove(job) == null) return
        groupsInTime.merge(trainer, complete(items), Int::plus)
        if (complete(items) >= wantedGroups) jobsInTime++
        execute(dispatcher.cancelJob("job$job").aborts)
        execute(dispatcher.place(now))
    }

    private fun complete(items: List<LoadItem>): Int =
        items.groupBy { it.group }.values.count { group -> group.all { it.finishedAt != null } }

    private fun iterate(identity: UpstreamIdentity, engine: EngineModel, end: Moment) {
        val iteration = engine.iterate(now)
        iteration.events.forEach { onEvent(engine, it) }
        iteration.broken.forEach { end(it.run, RunEnd.Broken("crash")) }
        if (now < end) schedule(maxOf(engine.nextAt, now + 1.milliseconds)) { iterate(identity, engine, end) }
    }

    private fun onEvent(engine: EngineModel, request: EngineRequest) {
        if (request.item.firstEventAt == null) request.item.firstEventAt = now
        execute(dispatcher.onEvent(request.run, request.events.toLong(), "e", null, now))
        if (request.events < request.item.output || request.run !in byRun) return
        engine.requests -= request
        end(request.run, RunEnd.Completed)
    }

    private fun end(run: Long, end: RunEnd) {
        byRun -= run
        execute(dispatcher.onEnd(run, end, now))
        execute(dispatcher.place(now))
    }

    private fun execute(actions: List<DispatchAction>) = actions.forEach { action ->
        when (action) {
            is DispatchAction.Start -> start(action)
            is DispatchAction.Abort -> abort(action.run)
            is DispatchAction.RecordFailure -> error("no run fails here")
            is DispatchAction.Finish -> finish(byKey.getValue(action.key))
        }
    }

    private fun start(action: DispatchAction.Start) {
        val item = byKey.getValue(action.key)
        val request = EngineRequest(action.run, item, (action.afterEvent ?: 0).toInt())
        byRun[action.run] = request
        engines.getValue(action.upstream.identity).requests += request
        dispatcher.onBegin(action.run, WeightVersion(1), now)
    }

    private fun abort(run: Long) {
        val request = byRun.remove(run) ?: return
        engines.values.forEach { it.requests -= request }
    }

    /** A trainer ends its job as soon as the wanted groups are complete. */
    private fun finish(item: LoadItem) {
        item.finishedAt = now
        val items = openJobs[item.job] ?: return
        if (complete(items) >= wantedGroups) schedule(now) { endJob(item.job, item.job % plan.trainers, items) }
    }

    /** Times in seconds, by what they measure, and numbers of complete groups. */
    fun figures(): LoadFigures {
        val (long, short) = items.partition { it.isLong }
        return LoadFigures(
            firstTokenOfShort = mean(short) { it.firstEventAt },
            finishOfLong = mean(long) { it.finishedAt },
            finish = mean(items) { it.finishedAt },
            groups = groupsInTime.values.sum(),
            crashes = crashes,
            preemptions = preemptions,
            jobsInTime = jobsInTime,
        )
    }

    /** Mean time from the submission to [moment]; an item that has not come so far counts with its due time. */
    private fun mean(items: Collection<LoadItem>, moment: (LoadItem) -> Moment?): Double = items
        .map { ((moment(it) ?: (it.submittedAt + DUE)) - it.submittedAt).toDouble(DurationUnit.SECONDS) }
        .average()

    private companion object {
        val DUE = 7_500.milliseconds
        const val MAXIMUM_OUTPUT = 1_000
        const val LONG_OUTPUT_SHARE = 0.08
        const val LONG_OUTPUT_FACTOR = 5.0

        /** The estimates of clients are accurate at the median only. */
        const val HINT_SPREAD = 0.5
    }
}

/** Mean figures of one simulated load. */
internal data class LoadFigures(
    val firstTokenOfShort: Double,
    val finishOfLong: Double,
    val finish: Double,
    val groups: Int,
    val crashes: Int,
    val preemptions: Int,
    val jobsInTime: Int,
) {
    override fun toString(): String =
        "first token of short prompts %.3f s, finish of long ones %.3f s, finish %.3f s, ".format(
            firstTokenOfShort,
            finishOfLong,
            finish,
        ) + "complete groups $groups, jobs in time $jobsInTime, " +
            "crashes $crashes, preemptions $preemptions"

    companion object {
        /** Returns mean times and total numbers over the loads that [run] simulates for each of [seeds]. */
        fun over(seeds: IntRange, run: (Int) -> LoadFigures): LoadFigures {
            val all = seeds.map(run)
            return LoadFigures(
                firstTokenOfShort = all.map { it.firstTokenOfShort }.average(),
                finishOfLong = all.map { it.finishOfLong }.average(),
                finish = all.map { it.finish }.average(),
                groups = all.sumOf { it.groups },
                crashes = all.sumOf { it.crashes },
                preemptions = all.sumOf { it.preemptions },
                jobsInTime = all.sumOf { it.jobsInTime },
            )
        }
    }
}
