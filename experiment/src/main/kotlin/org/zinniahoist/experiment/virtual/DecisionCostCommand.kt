package org.zinniahoist.experiment.virtual

import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Region
import org.zinniahoist.model.TrainerName
import org.zinniahoist.policy.admission.AdmissionSettings
import org.zinniahoist.policy.admission.FairShareQueue
import org.zinniahoist.policy.admission.Origin
import org.zinniahoist.policy.admission.QueuedAttempt
import org.zinniahoist.policy.admission.Slots
import org.zinniahoist.policy.routing.AttemptOutcome
import org.zinniahoist.policy.routing.EstimatedWaitRouter
import org.zinniahoist.policy.routing.LeastReportedLoadRouter
import org.zinniahoist.policy.routing.LoadDigest
import org.zinniahoist.policy.routing.Router
import org.zinniahoist.policy.routing.RoutingDecision
import org.zinniahoist.policy.routing.RoutingRequest
import kotlin.random.Random
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Measures the time of a routing decision and of an admission in a loop. */
@OptIn(ExperimentalCli::class)
internal class DecisionCostCommand : Subcommand("decisions", "Measures the cost of decisions.") {
    override fun execute() {
        println("| upstreams | chosen ns | least reported load ns |")
        println("| --- | --- | --- |")
        for (upstreams in SIZES) {
            val chosen = best { routing(EstimatedWaitRouter(domain(0)), upstreams, OPERATIONS) }
            val plain = best { routing(LeastReportedLoadRouter(), upstreams, OPERATIONS / upstreams.coerceAtLeast(10)) }
            println("| $upstreams | $chosen | $plain |")
        }
        println("\n| waiting attempts | offer, poll and end ns |")
        println("| --- | --- |")
        for (waiting in SIZES) println("| $waiting | ${best { admission(waiting) }} |")
    }

    private fun domain(index: Int) = FailureDomain("d$index", Region("r${index / 3}"))

    /** The smallest of several measurements, as others include compilation and other load of the machine. */
    private fun best(measure: () -> Long): Long = (1..REPETITIONS).minOf { measure() }

    private fun routing(router: Router, upstreams: Int, operations: Int): Long {
        val random = Random(1)
        val names = List(upstreams) { InstanceName("u$it") }
        names.forEachIndexed { index, name ->
            router.add(name, domain(index % DOMAINS))
            router.onReport(name, LoadDigest(random.nextInt(40), 0, 64, 2_000.0), Moment.ZERO)
        }
        val started = System.nanoTime()
        repeat(operations) {
            val request = RoutingRequest(it % 1_000L, 95.milliseconds, expectedTime = 2.seconds)
            val routed = router.route(request, Moment.ZERO + it.milliseconds / 1_000, random) as RoutingDecision.Routed
            router.onStart(routed.instance)
            router.onEnd(routed.instance, AttemptOutcome.ANSWERED, Moment.ZERO)
        }
        return (System.nanoTime() - started) / operations
    }

    private fun admission(waiting: Int): Long {
        val queue = FairShareQueue(AdmissionSettings(trainingCapacity = waiting + 1))
        val random = Random(1)
        fun offer(index: Int) {
            val origin = Origin.Training(TrainerName("t${index % 31}"), 1, "g${random.nextInt(512)}", 8)
            val attempt = QueuedAttempt(AttemptIdentifier("$index"), origin, 1.milliseconds, Moment.ZERO + 1.hours)
            queue.offer(attempt, Moment.ZERO)
        }
        repeat(waiting) { offer(it) }
        val started = System.nanoTime()
        repeat(OPERATIONS) {
            offer(waiting + it)
            queue.poll(Slots(0, 64), Moment.ZERO)?.let { next -> queue.onEnd(next, 1.milliseconds, Moment.ZERO) }
        }
        return (System.nanoTime() - started) / OPERATIONS
    }

    private companion object {
        val SIZES = listOf(10, 100, 1_000, 10_000)
        const val OPERATIONS = 500_000
        const val REPETITIONS = 5
        const val DOMAINS = 31
    }
}
