package org.zinniahoist.policy.reward

import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.Revision
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.policy.dispatch.ItemKey
import org.zinniahoist.policy.dispatch.UpstreamRegistry
import org.zinniahoist.policy.routes.Route
import org.zinniahoist.policy.routes.RouteKind
import org.zinniahoist.policy.routes.RouteTable
import org.zinniahoist.policy.routes.ServiceConfiguration
import org.zinniahoist.policy.routes.ServiceShare
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Creates upstreams, items and schedulers for reward calls to a single service. */
internal object RewardFixture {
    val START = Moment(0)
    val SERVICE = ServiceName("scorers")
    val TARGET = 500.milliseconds
    val TIMEOUT = 2.seconds
    const val SLOTS = 6

    fun upstream(name: String) =
        ListedUpstream(UpstreamIdentity(name), SERVICE, Endpoint("127.0.0.1", 80), "a", SLOTS, isLeaving = false)

    fun work(
        name: String,
        group: String? = null,
        job: String = "job",
        dueAt: Moment = START + 7.seconds,
        expiresAt: Moment = START + 40.seconds,
        maximumFailures: Int = 3,
    ) = RewardWork(ItemKey(job, RequestIdentifier(name)), "h", "/score/$name", group, dueAt, expiresAt, maximumFailures)

    fun routes(services: List<ServiceName> = listOf(SERVICE)) = RouteTable(
        ServiceConfiguration(
            Revision(1),
            listOf(
                Route(
                    name = "score",
                    host = "h",
                    pathPrefix = "/score/",
                    kind = RouteKind.REPEATABLE,
                    timeout = TIMEOUT,
                    target = TARGET,
                    priority = 0,
                    shares = services.map { ServiceShare(it, 1) },
                    maximumAttempts = 4,
                ),
            ),
            emptyList(),
            limits = null,
        ),
    )

    fun scheduler(
        upstreams: Int = 3,
        options: RewardOptions = RewardOptions(),
        order: RewardOrder = NearestCompletionRewardOrder,
    ): RewardScheduler {
        val registry = UpstreamRegistry()
        registry.relist((1..upstreams).map { upstream("u$it") })
        return RewardScheduler(registry, options, order, Random(1)).also { it.routes = routes() }
    }

    /** Adds items whose texts are complete. */
    fun RewardScheduler.addReady(vararg work: RewardWork) {
        expect(work.toList())
        work.forEach { onTextComplete(it.key) }
    }

    fun calls(actions: List<RewardAction>): List<RewardAction.Call> = actions.filterIsInstance<RewardAction.Call>()

    /** Ticks every 10 ms from [from] until a call starts. Returns its delay, or null if none starts within [limit]. */
    fun RewardScheduler.delayOfNextCall(from: Moment, limit: Duration = 5.seconds): Pair<Duration, RewardAction.Call>? {
        var elapsed = Duration.ZERO
        while (elapsed <= limit) {
            calls(tick(from + elapsed)).firstOrNull()?.let { return elapsed to it }
            elapsed += 10.milliseconds
        }
        return null
    }
}
