package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.model.WeightVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Run on a [SimulatedUpstream]. [events] is the total number of events of its item. */
internal class SimulatedRun(
    val number: Long,
    val model: ModelName,
    val events: Int,
    var nextEvent: Int,
    var nextAt: Moment,
) {
    var hasBegun = false
}

/**
 * Simulates an upstream that emits events at a steady rate and may go down. While it loads weights of a model, the runs
 * of that model pause.
 */
internal class SimulatedUpstream(
    val name: String,
    private val slots: Int,
    models: Collection<ModelName>,
) {
    val identity = UpstreamIdentity(name)
    val versions = models.associateWithTo(HashMap()) { WeightVersion(1) }
    val runs = LinkedHashMap<Long, SimulatedRun>()
    var isDown = false
    var slowness = 1.0
    var acceptedOrders = 0L
    private var loadsUntil: Moment? = null
    private var loads: Pair<ModelName, WeightVersion>? = null

    fun listed() = ListedUpstream(
        identity = identity,
        service = ServiceName("drafts"),
        endpoint = Endpoint("127.0.0.1", 80),
        failureDomain = "a",
        slots = slots,
        isLeaving = false,
        versions = versions.toMap(),
    )

    val isLoading: Boolean get() = loads != null

    fun report() = UpstreamReport(versions.toMap(), isLoading, acceptedOrders)

    fun order(action: LoadAction.Order, now: Moment): OrderAnswer {
        if (isLoading || acceptedOrders != action.expectedOrders) return OrderAnswer.CONFLICT
        acceptedOrders++
        loads = action.model to action.version
        loadsUntil = now + LOAD_TIME
        return OrderAnswer.ACCEPTED
    }

    fun start(run: SimulatedRun): Boolean {
        if (loads?.first == run.model || runs.size >= slots) return false
        runs[run.number] = run
        return true
    }

    /** Returns the event interval of each run at the current number of runs. */
    fun eventInterval(): Duration =
        (EVENT_MILLISECONDS + runs.size * EVENT_MILLISECONDS_PER_RUN).milliseconds * slowness

    /** Advances to [now]: completes a load that is due and calls [onEvent] for each event emitted until then. */
    fun advance(now: Moment, onEvent: (SimulatedRun) -> Unit) {
        val until = loadsUntil
        if (until != null && now >= until) {
            val loaded = loads?.first
            loads?.let { (model, version) -> versions[model] = version }
            loads = null
            loadsUntil = null
            runs.values.filter { it.model == loaded }.forEach { it.nextAt = now + eventInterval() }
        }
        for (run in runs.values.filterNot { it.model == loads?.first }) {
            while (run.number in runs && now >= run.nextAt) {
                run.nextAt += eventInterval()
                onEvent(run)
            }
        }
    }

    private companion object {
        val LOAD_TIME = 900.milliseconds
        const val EVENT_MILLISECONDS = 43.6
        const val EVENT_MILLISECONDS_PER_RUN = 1.03
    }
}
