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

/** Step size of a trainer: [groups] groups of [groupSize] items; most items have [meanEvents] events on average. */
internal data class TrainerPlan(
    val model: ModelName,
    val groups: Int,
    val groupSize: Int,
    val meanEvents: Double,
)

/** Step of a trainer with the progress of its items. */
internal class SimulatedStep(
    val number: Int,
    val plan: TrainerPlan,
    val submittedAt: Moment,
    val items: Map<RequestIdentifier, Int>,
) {
    val job = "${plan.model}-$number"
    val done = HashSet<RequestIdentifier>()
    val groupsInTime = HashSet<String>()
    val groupsLate = HashSet<String>()
    var endedAt: Moment? = null

    /** A step allows the weight version before its own as well. */
    val minimum = WeightVersion(maxOf(1L, number - 1L))

    fun completeGroups(): Set<String> = items.keys.groupBy(::groupOf).filterValues { done.containsAll(it) }.keys

    fun groupOf(item: RequestIdentifier): String = item.value.substringBefore('/')
}

/** Submits a step every 4 s, but not before the version of that step is published, and trains after each ended step. */
internal class SimulatedTrainer(
    val plan: TrainerPlan,
    seed: Int,
) {
    private val random = Random(seed)
    val steps = ArrayList<SimulatedStep>()
    private var trainedAt = Moment.ZERO

    /** Newest published version; versions 0 and 1 exist from the start. */
    var newest = 1L
        private set
    private val requiredGroups = (plan.groups * REQUIRED_SHARE).roundToInt()

    /** Returns the step that is submitted at [now], or null. */
    fun submitAt(now: Moment): SimulatedStep? {
        val next = steps.size
        if (now < Moment.ZERO + STEP_PERIOD * next || newest < next || now > Moment.ZERO + LAST_SUBMISSION) return null
        val items = (0 until plan.groups).flatMap { group ->
            (0 until plan.groupSize).map { RequestIdentifier("${plan.model}-$next-$group/$it") to events() }
        }
        return SimulatedStep(next, plan, now, items.toMap()).also { steps += it }
    }

    /** Ends and returns the steps that have enough complete groups at [now] or have timed out. */
    fun endedAt(now: Moment): List<SimulatedStep> {
        val ended = ArrayList<SimulatedStep>()
        for (step in steps.filter { it.endedAt == null }) {
            val complete = step.completeGroups()
            if (now <= step.submittedAt + DUE + GRACE) step.groupsInTime += complete else step.groupsLate += complete
            if (complete.size < requiredGroups && now < step.submittedAt + STEP_TIMEOUT) break
            step.endedAt = now
            trainedAt = maxOf(now, trainedAt) + TRAINING_DURATION
            ended += step
        }
        return ended
    }

    /** Returns the version that is published at [now], or null. */
    fun publishAt(now: Moment): Long? {
        val ended = steps.count { it.endedAt != null }
        if (newest > ended || now < trainedAt) return null
        newest++
        return newest
    }

    /** Returns the earned share of the worth of all groups required until [LAST_SUBMISSION]. */
    fun earned(): Double {
        val required = requiredGroups * ((LAST_SUBMISSION / STEP_PERIOD).toInt() + 1)
        return steps.sumOf { step ->
            val inTime = minOf(step.groupsInTime.size, requiredGroups)
            val late = minOf((step.groupsLate - step.groupsInTime).size, requiredGroups - inTime)
            inTime + LATE_WORTH * late
        } / required
    }

    fun work(step: SimulatedStep, item: RequestIdentifier, now: Moment) = ItemWork(
        key = ItemKey(step.job, item),
        service = ServiceName("drafts"),
        dueAt = step.submittedAt + DUE,
        expiresAt = now + 60.seconds,
        maximumFailures = 3,
        group = step.groupOf(item),
        expectedTokens = expectedTokens(step, item),
        terms = WeightConstraints(plan.model, step.minimum, singleVersion = false),
    )

    fun jobWork(step: SimulatedStep): JobDemand =
        JobDemand(step.job, plan.model, step.items.keys.sumOf { expectedTokens(step, it).toLong() }, step.minimum)

    private fun expectedTokens(step: SimulatedStep, item: RequestIdentifier): Int =
        PROMPT_TOKENS + TOKENS_PER_EVENT * step.items.getValue(item)

    private fun events(): Int {
        val common = plan.meanEvents * exp(SPREAD * random.asJavaRandom().nextGaussian() - SPREAD * SPREAD / 2)
        val scaled = if (random.nextDouble() < TAIL_SHARE) common * TAIL_FACTOR else common
        return scaled.coerceIn(1.0, MAXIMUM_EVENTS).roundToInt()
    }

    companion object {
        val STEP_PERIOD: Duration = 4.seconds
        val LAST_SUBMISSION: Duration = 32.seconds
        private val DUE: Duration = 7_500.milliseconds

        /** Time after the due time within which a complete group still counts as in time. */
        private val GRACE = 700.milliseconds

        /** Share of its worth that a group earns if it completes late. */
        private const val LATE_WORTH = 0.375
        private val STEP_TIMEOUT = 12.seconds
        private val TRAINING_DURATION = 500.milliseconds
        private const val PROMPT_TOKENS = 276
        private const val TOKENS_PER_EVENT = 69
        private const val REQUIRED_SHARE = 0.9
        private const val SPREAD = 0.9
        private const val TAIL_SHARE = 0.1
        private const val TAIL_FACTOR = 5.0
        private const val MAXIMUM_EVENTS = 115.0
    }
}
