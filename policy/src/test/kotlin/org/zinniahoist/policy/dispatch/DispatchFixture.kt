package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.model.WeightVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Creates upstreams and items of a single service and model. */
internal object DispatchFixture {
    val START = Moment(0)

    /** Interval between two ticks. */
    val TICK = 50.milliseconds
    private val SERVICE = ServiceName("drafts")
    private val MODEL = ModelName("m")

    fun upstream(name: String, slots: Int = 2, version: Long = 1) = ListedUpstream(
        identity = UpstreamIdentity(name),
        service = SERVICE,
        endpoint = Endpoint("127.0.0.1", 80),
        failureDomain = "a",
        slots = slots,
        isLeaving = false,
        versions = mapOf(MODEL to WeightVersion(version)),
    )

    fun item(
        name: String,
        minimum: Long = 1,
        maximumFailures: Int = 3,
        giveUpAfter: Duration = 40.seconds,
    ) = ItemWork(
        key = ItemKey("job", RequestIdentifier(name)),
        service = SERVICE,
        dueAt = START + 7.seconds,
        expiresAt = START + giveUpAfter,
        maximumFailures = maximumFailures,
        terms = WeightConstraints(MODEL, WeightVersion(minimum), singleVersion = false),
    )

    fun starts(actions: List<DispatchAction>): List<DispatchAction.Start> =
        actions.filterIsInstance<DispatchAction.Start>()
}

/** Ticks from [from] until an item starts. Returns the start and its time, or null if none starts within [limit]. */
internal fun ItemDispatcher.nextStart(from: Moment, limit: Duration): Pair<DispatchAction.Start, Moment>? {
    var now = from
    while (now <= from + limit) {
        val started = DispatchFixture.starts(tick(now)).firstOrNull()
        if (started != null) return started to now
        now += DispatchFixture.TICK
    }
    return null
}
