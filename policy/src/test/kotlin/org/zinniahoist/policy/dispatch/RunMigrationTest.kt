package org.zinniahoist.policy.dispatch

import org.junit.jupiter.api.Test
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.model.WeightVersion
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Load: a few items of a step are several times as long as the others, and need nearly all of the time until their job
 * is due. Two upstreams run one item, which gets an event each [INTERVAL].
 */
internal class RunMigrationTest {
    private val dispatcher = ItemDispatcher(options = DispatchOptions(migratesOverdueRuns = true))
    private var now = Moment(0)

    /** Submits the item, lets it get so many [events] on its upstream, and returns that upstream. */
    private fun runFor(events: Int): UpstreamIdentity {
        dispatcher.registry.relist(listOf(upstream("a"), upstream("b")))
        dispatcher.submit(listOf(ITEM))
        val first = dispatcher.tick(now).filterIsInstance<DispatchAction.Start>().single()
        dispatcher.onBegin(first.run, WeightVersion(1), now)
        for (number in 0L until events) {
            now += INTERVAL
            dispatcher.onEvent(first.run, number, "e", null, now)
        }
        return first.upstream.identity
    }

    private fun tracked(identity: UpstreamIdentity): TrackedUpstream =
        checkNotNull(dispatcher.registry.tracked(identity))

    /** Guards against a long item that waits for the end of a load while another upstream could go on with it. */
    @Test
    fun `a long item leaves an upstream that loads weights and resumes after its last event`() {
        val first = runFor(events = 80)
        tracked(first).isLoading = true
        val start = dispatcher.tick(now).filterIsInstance<DispatchAction.Start>().singleOrNull()
        expectThat(start?.upstream?.identity).isNotEqualTo(first)
        expectThat(start?.afterEvent).isEqualTo(79L)
    }

    /** Guards against a long item that stays on an upstream that became slow because it is not slow enough to stall. */
    @Test
    fun `a long item leaves an upstream on which it would be late`() {
        val first = runFor(events = 80)
        repeat(30) { dispatcher.registry.onEventInterval(first, INTERVAL * 2) }
        val other = if (first.value == "a") "b" else "a"
        repeat(30) { dispatcher.registry.onEventInterval(UpstreamIdentity(other), INTERVAL) }
        val start = dispatcher.tick(now).filterIsInstance<DispatchAction.Start>().singleOrNull()
        expectThat(start?.upstream?.identity?.value).isEqualTo(other)
    }

    /** Guards against the price of new connections for items that have time. */
    @Test
    fun `an item that ends in time stays on an upstream that loads weights`() {
        val first = runFor(events = 20)
        tracked(first).isLoading = true
        expectThat(dispatcher.tick(now)).isEmpty()
    }

    /** Guards against an item that is moved to an upstream that can't run it, or that is no faster. */
    @Test
    fun `a long item stays where it is without a faster upstream`() {
        val first = runFor(events = 80)
        expectThat(dispatcher.tick(now)).isEmpty()
        tracked(first).isLoading = true
        dispatcher.registry.onLeaving(UpstreamIdentity(if (first.value == "a") "b" else "a"))
        expectThat(dispatcher.tick(now)).isEmpty()
    }

    /** Guards against moves where the feature is not switched on. */
    @Test
    fun `without migration a long item waits for the end of a load`() {
        val baseline = ItemDispatcher()
        baseline.registry.relist(listOf(upstream("a"), upstream("b")))
        baseline.submit(listOf(ITEM))
        val first = baseline.tick(now).filterIsInstance<DispatchAction.Start>().single()
        baseline.onBegin(first.run, WeightVersion(1), now)
        for (number in 0L until 80) {
            now += INTERVAL
            baseline.onEvent(first.run, number, "e", null, now)
        }
        checkNotNull(baseline.registry.tracked(first.upstream.identity)).isLoading = true
        expectThat(baseline.tick(now).firstOrNull()).isNull()
    }

    private fun upstream(name: String) = ListedUpstream(
        identity = UpstreamIdentity(name),
        service = SERVICE,
        endpoint = Endpoint("127.0.0.1", 80),
        failureDomain = "a",
        slots = 2,
        isLeaving = false,
        versions = mapOf(MODEL to WeightVersion(1)),
    )

    private companion object {
        val SERVICE = ServiceName("drafts")
        val MODEL = ModelName("m")
        val INTERVAL: Duration = 50.milliseconds
        val ITEM = ItemWork(
            key = ItemKey("job", RequestIdentifier("x")),
            service = SERVICE,
            dueAt = Moment(0) + 7.5.seconds,
            expiresAt = Moment(0) + 40.seconds,
            maximumFailures = 3,
            terms = WeightConstraints(MODEL, WeightVersion(1), singleVersion = false),
        )
    }
}
