package org.zinniahoist.experiment.slopes

import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Region
import org.zinniahoist.model.TrainerName
import org.zinniahoist.policy.admission.AdmissionSettings
import org.zinniahoist.policy.admission.FairShareQueue
import org.zinniahoist.policy.admission.OfferResult
import org.zinniahoist.policy.admission.Origin
import org.zinniahoist.policy.admission.QueuedAttempt
import org.zinniahoist.policy.admission.Slots
import org.zinniahoist.policy.routing.EstimatedWaitRouter
import org.zinniahoist.policy.routing.LoadDigest
import org.zinniahoist.policy.routing.RoutingRequest
import kotlin.random.Random
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

private const val DOMAINS = 31
private const val REGIONS = 10
private const val TRAINERS = 31
private const val LARGEST = 10_000
private const val RUNNING = 100
private val SIZES = listOf(10, 100, 1_000, LARGEST)
private val NOW = Moment.ZERO + 1.hours

/** Costs of a routing decision and of the admission of one attempt against the number of those that compete. */
internal fun measureDecisions(meter: Meter, print: (Row) -> Unit) {
    SIZES.forEach { count ->
        val router = router(count)
        val random = Random(1)
        val plain = meter.microseconds { router.route(RoutingRequest(), NOW, random) }
        print(Row("routing decision", "$count upstreams", plain, "µs CPU"))
        val shared = meter.microseconds { router.route(RoutingRequest(it.toLong(), 1.seconds), NOW, random) }
        print(Row("routing decision with prefix", "$count upstreams", shared, "µs CPU"))
    }
    print(
        Row(
            "upstream, heap of the router",
            "10,000 upstreams",
            meter.retainedBytes {
                router(LARGEST)
            } / LARGEST,
            "B",
        ),
    )
    SIZES.forEach { count ->
        val queue = queue(count)
        val slots = Slots(running = RUNNING, limit = RUNNING + 1)
        val time = meter.microseconds {
            check(queue.offer(attempt(count + it), NOW) == OfferResult.Queued)
            checkNotNull(queue.poll(slots, NOW))
        }
        check(queue.size == count)
        print(Row("admission, offer and poll", "$count waiting", time, "µs CPU"))
    }
}

private fun router(upstreams: Int): EstimatedWaitRouter = EstimatedWaitRouter(domain(0)).also { router ->
    val random = Random(1)
    repeat(upstreams) {
        val name = InstanceName("sampler-$it")
        router.add(name, domain(it % DOMAINS))
        router.onReport(name, LoadDigest(random.nextInt(64), random.nextInt(16), 64, 2_000.0), NOW)
    }
}

private fun domain(number: Int) = FailureDomain("domain-$number", Region("region-${number % REGIONS}"))

private fun queue(waiting: Int): FairShareQueue =
    FairShareQueue(AdmissionSettings(trainingCapacity = 2 * LARGEST)).also { queue ->
        repeat(waiting) { check(queue.offer(attempt(it), NOW) == OfferResult.Queued) }
    }

/** A deadline that is far away, so that no attempt is refused for its expected wait. */
private fun attempt(number: Int) = QueuedAttempt(
    AttemptIdentifier("entry-17-$number"),
    Origin.Training(TrainerName("trainer-${number % TRAINERS}"), 1, "1/${number / TRAINERS}", 8),
    2.seconds,
    NOW + 1_000.hours,
)
