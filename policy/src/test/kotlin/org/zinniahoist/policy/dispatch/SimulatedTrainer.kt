package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.WeightVersion
import kotlin.math.exp
import kotlin.math.roundToInt
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The steps of one trainer: [groups] of [groupSize] items each, of [meanEvents] events for most items. */
internal data class TrainerPlan(
    val model: ModelName,
    val groups: Int,
    val groupSize: Int,
    val meanEvents: Double,
)

/** One step of a trainer, as the record of the jobs keeps it. */
internal class SimulatedStep(
    val number: Int,
    val plan: TrainerPlan,
    val askedAt: Moment,
    val items: Map<RequestIdentifier, Int>,
) {
    val job = "${plan.model}-$number"
    val done = HashSet<RequestIdentifier>()
    val groupsInTime = HashSet<String>()
    val groupsLate = HashSet<String>()
    var endedAt: Moment? = null

    /** Steps whose version is named allow the version before too. */
    val minimum = WeightVersion(maxOf(1L, number - 1L))

    fun completeGroups(): Set<String> = items.keys.groupBy(::groupOf).filterValues { done.containsAll(it) }.keys

    fun groupOf(item: RequestIdentifier): String = item.value.substringBefore('/')
}

/** Asks a step each four seconds, but only once the version of that step is named, and trains when one is complete. */
internal class SimulatedTrainer(
    val plan: TrainerPlan,
    seed: Int,
) {
    private val random = Random(seed)
    val steps = ArrayList<SimulatedStep>()
    private var namedAt = Moment.ZERO

    /** Newest named version; 0 and 1 are there from the start. */
    var named = 1L
        private set
    private val wanted = (plan.groups * WANTED_SHARE).roundToInt()

    /** Returns the step that is asked at [now], or null. */
    fun askAt(now: Moment): SimulatedStep? {
        val next = steps.size
        if (now < Moment.ZERO + STEP_INTERVAL * next || named < next || now > Moment.ZERO + LAST_ASK) return null
        val items = (0 until plan.groups).flatMap { group ->
            (0 until plan.groupSize).map { RequestIdentifier("${plan.model}-$next-$group/$it") to events() }
        }
        return SimulatedStep(next, plan, now, items.toMap()).also { steps += it }
    }

    /** Ends and returns the steps that end at [now]: each that has its groups or whose time is up. */
    fun endedAt(now: Moment): List<SimulatedStep> {
        val ended = ArrayList<SimulatedStep>()
        for (step in steps.filter { it.endedAt == null }) {
            val complete = step.completeGroups()
            if (now <= step.askedAt + DUE + GRACE) step.groupsInTime += complete else step.groupsLate += complete
            if (complete.size < wanted && now < step.askedAt + PATIENCE) break
            step.endedAt = now
            namedAt = maxOf(now, namedAt) + TRAINING
            ended += step
        }
        return ended
    }

    /** Returns the version that is named at [now], or null. */
    fun nameAt(now: Moment): Long? {
        val ended = steps.count { it.endedAt != null }
        if (named > ended || now < namedAt) return null
        named++
        return named
    }

    /** Returns the share of its worth that the trainer earned with the groups owed until [LAST_ASK]. */
    fun earned(): Double {
        val owed = wanted * ((LAST_ASK / STEP_INTERVAL).toInt() + 1)
        return steps.sumOf { step ->
            val inTime = minOf(step.groupsInTime.size, wanted)
            val late = minOf((step.groupsLate - step.groupsInTime).size, wanted - inTime)
            inTime + LATE_WORTH * late
        } / owed
    }

    fun work(step: SimulatedStep, item: RequestIdentifier, now: Moment) = ItemWork(
        key = ItemKey(step.job, item),
        service = ServiceName("drafts"),
        dueAt = step.askedAt + DUE,
        giveUpAt = now + 60.seconds,
        maximumFailures = 3,
        group = step.groupOf(item),
        expectedTokens = expectedTokens(step, item),
        terms = DraftTerms(plan.model, step.minimum, singleVersion = false),
    )

    fun jobWork(step: SimulatedStep): JobWork =
        JobWork(step.job, plan.model, step.items.keys.sumOf { expectedTokens(step, it).toLong() }, step.minimum)

    private fun expectedTokens(step: SimulatedStep, item: RequestIdentifier): Int =
        PROMPT_TOKENS + TOKENS_PER_EVENT * step.items.getValue(item)

    private fun events(): Int {
        val common = plan.meanEvents * exp(SPREAD * random.asJavaRandom().nextGaussian() - SPREAD * SPREAD / 2)
        val scaled = if (random.nextDouble() < TAIL_SHARE) common * TAIL_FACTOR else common
        return scaled.coerceIn(1.0, MOST_EVENTS).roundToInt()
    }

    companion object {
        val STEP_INTERVAL: Duration = 4.seconds
        val LAST_ASK: Duration = 32.seconds
        private val DUE: Duration = 7_500.milliseconds

        /** Read by then, a group still counts as in time. */
        private val GRACE = 700.milliseconds

        /** Share of the worth of a group that is complete after it was due. */
        private const val LATE_WORTH = 0.375
        private val PATIENCE = 12.seconds
        private val TRAINING = 500.milliseconds
        private const val PROMPT_TOKENS = 276
        private const val TOKENS_PER_EVENT = 69
        private const val WANTED_SHARE = 0.9
        private const val SPREAD = 0.9
        private const val TAIL_SHARE = 0.1
        private const val TAIL_FACTOR = 5.0
        private const val MOST_EVENTS = 115.0
    }
}
