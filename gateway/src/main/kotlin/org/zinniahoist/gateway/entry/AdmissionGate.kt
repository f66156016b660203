package org.zinniahoist.gateway.entry

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.zinniahoist.model.Moment
import org.zinniahoist.model.ServiceName
import org.zinniahoist.policy.live.AdmissionDecision
import org.zinniahoist.policy.live.AdmissionFigures
import org.zinniahoist.policy.live.AttemptOutcome
import org.zinniahoist.policy.live.LiveAdmission
import org.zinniahoist.policy.live.LiveRequest
import org.zinniahoist.policy.live.ServiceCapacity
import org.zinniahoist.policy.live.UnlimitedAdmission
import kotlin.time.Duration

/** Holds the requests of an entry until [admission] admits or refuses them. Thread-safe. */
internal class AdmissionGate(
    private val admission: LiveAdmission,
    private val capacityOf: (ServiceName) -> ServiceCapacity,
    private val clock: () -> Moment,
) {
    private val waiting = HashMap<LiveRequest, CompletableDeferred<Unit>>()

    /** Result of [enter]. */
    sealed interface Entrance {
        /** The request may be sent. [place] must be closed when it has ended. */
        class Admitted(val place: Place) : Entrance

        /** The request must not be sent; a place is expected after [expectedWait]. */
        data class Refused(val expectedWait: Duration) : Entrance
    }

    /** Waits until [request] may be sent to [service], or is refused. */
    suspend fun enter(request: ForwardedRequest, service: ServiceName): Entrance {
        val live = request.live(service)
        val place = Place(live)
        var isAdmitted = false
        try {
            val entrance = entranceOf(place, decide(live), request.identifier)
            isAdmitted = entrance is Entrance.Admitted
            return entrance
        } finally {
            // Also when the client has gone, or its deadline is over, while the request waited.
            if (!isAdmitted) place.close()
        }
    }

    private suspend fun entranceOf(place: Place, decision: AdmissionDecision, identifier: String?): Entrance =
        when (decision) {
            is AdmissionDecision.Admitted -> Entrance.Admitted(place)

            is AdmissionDecision.Refused -> Entrance.Refused(decision.expectedWait)

            is AdmissionDecision.Waiting -> {
                val start = clock()
                val turn = synchronized(this) { waiting[place.live] }
                withTimeoutOrNull(decision.until - start) { turn?.await() }
                val last = synchronized(this) {
                    waiting -= place.live
                    admission.onWaitEnded(place.live, clock())
                }
                logger.info {
                    "event=admission-waited request=$identifier service=${place.live.service} " +
                        "priority=${place.live.priority} workspace=${place.live.workspace} " +
                        "milliseconds=${(clock() - start).inWholeMilliseconds} " +
                        "admitted=${last is AdmissionDecision.Admitted}"
                }
                entranceOf(place, last, identifier)
            }
        }

    @Synchronized
    private fun decide(live: LiveRequest): AdmissionDecision {
        val decision = admission.onArrival(live, capacityOf(live.service), clock())
        if (decision is AdmissionDecision.Waiting) waiting[live] = CompletableDeferred()
        return decision
    }

    /** State of the admission to each service. */
    @Synchronized
    fun figures(): Map<ServiceName, AdmissionFigures> = admission.figures()

    private fun admit(admitted: List<LiveRequest>) = admitted.forEach { waiting.remove(it)?.complete(Unit) }

    /** The places that one request holds, or its turn to get one. */
    inner class Place(val live: LiveRequest) : AutoCloseable {
        /** Records that an attempt begins. */
        fun onAttempt() = synchronized(this@AdmissionGate) { admission.onAttempt(live) }

        /** Records that an attempt that began at [start] ended. */
        fun onAttemptEnded(outcome: AttemptOutcome, start: Moment) = synchronized(this@AdmissionGate) {
            admit(admission.onAttemptEnded(live, outcome, start, clock()))
        }

        /** Returns the places. Has no effect if they were returned before. */
        override fun close() = synchronized(this@AdmissionGate) {
            waiting -= live
            admit(admission.onLeft(live, clock()))
        }
    }

    companion object {
        private val logger = KotlinLogging.logger {}

        /** Returns a gate that admits each request at once. */
        fun open(clock: () -> Moment) = AdmissionGate(UnlimitedAdmission, { ServiceCapacity(0, 0) }, clock)

        private const val SERVICE_UNAVAILABLE = 503
        private const val TOO_MANY_REQUESTS = 429

        /** Returns the outcome of an attempt that an upstream did not run and answered with [status]. */
        fun outcomeOfRefusal(status: Int): AttemptOutcome = when (status) {
            SERVICE_UNAVAILABLE, TOO_MANY_REQUESTS -> AttemptOutcome.REFUSED
            else -> AttemptOutcome.OTHER
        }
    }
}
