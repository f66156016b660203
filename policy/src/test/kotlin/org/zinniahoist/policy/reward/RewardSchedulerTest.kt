package org.zinniahoist.policy.reward

import org.junit.jupiter.api.Test
import org.zinniahoist.model.ServiceName
import org.zinniahoist.policy.reward.RewardFixture.START
import org.zinniahoist.policy.reward.RewardFixture.addReady
import org.zinniahoist.policy.reward.RewardFixture.calls
import org.zinniahoist.policy.reward.RewardFixture.delayOfNextCall
import org.zinniahoist.policy.reward.RewardFixture.work
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class RewardSchedulerTest {
    /** Guards against a call that starts before the last event of its text. */
    @Test
    fun `calls only items whose text is complete`() {
        val scheduler = RewardFixture.scheduler()
        scheduler.expect(listOf(work("a"), work("b")))
        expectThat(scheduler.tick(START)).isEmpty()
        scheduler.onTextComplete(work("b").key)
        expectThat(calls(scheduler.tick(START)).map { it.key.item.value }).containsExactly("b")
    }

    /** Guards against a score of an aborted call that is taken for the score of another text of the item. */
    @Test
    fun `ignores the end of a call that was aborted`() {
        val scheduler = RewardFixture.scheduler()
        scheduler.addReady(work("a"))
        val first = calls(scheduler.tick(START)).single()
        expectThat(scheduler.cancelJob("job", START).map { it.call }).containsExactly(first.call)
        scheduler.addReady(work("a"))
        val second = calls(scheduler.tick(START)).single()
        expectThat(scheduler.onEnd(first.call, RewardCallEnd.Scored("old"), START)).isEmpty()
        expectThat(scheduler.onEnd(second.call, RewardCallEnd.Scored("new"), START).first())
            .isEqualTo(RewardAction.Finish(work("a").key, "new", "scored"))
    }

    /** Guards against an item that is given up before either route allows it, and against one that never is. */
    @Test
    fun `gives up after the larger of both limits of failed calls`() {
        val scheduler = RewardFixture.scheduler()
        scheduler.addReady(work("a", maximumFailures = 3))
        var now = START
        repeat(3) {
            val call = scheduler.delayOfNextCall(now)!!.second
            now += 100.milliseconds
            expectThat(scheduler.onEnd(call.call, RewardCallEnd.Failed, now))
                .containsExactly(RewardAction.RecordFailure(call.key, it + 1))
            expectThat(scheduler.onFailureRecorded(call.key, now)).isEmpty()
        }
        val last = scheduler.delayOfNextCall(now)!!.second
        scheduler.onEnd(last.call, RewardCallEnd.Failed, now)
        val finish = scheduler.onFailureRecorded(last.key, now).single() as RewardAction.Finish
        expectThat(finish.score).isNull()
    }

    /** Guards against calls that a later leader does not count, so that an item fails more often than allowed. */
    @Test
    fun `makes no call before the failure of the latest one is recorded`() {
        val scheduler = RewardFixture.scheduler()
        scheduler.addReady(work("a"))
        val call = calls(scheduler.tick(START)).single()
        scheduler.onEnd(call.call, RewardCallEnd.Failed, START)
        expectThat(scheduler.tick(START + 5.seconds)).isEmpty()
        expectThat(scheduler.onFailureRecorded(call.key, START + 5.seconds)).hasSize(1)
    }

    /** Guards against more calls than allowed after a change of the leader. */
    @Test
    fun `makes no call of an item with too many earlier failures`() {
        val scheduler = RewardFixture.scheduler()
        scheduler.addReady(work("a", maximumFailures = 3).copy(failures = 4))
        val finish = scheduler.tick(START).single() as RewardAction.Finish
        expectThat(finish.score).isNull()
    }

    /** Guards against refusals, lost calls and misdirected calls that are counted as failures of the call. */
    @Test
    fun `does not count calls that the service did not fail`() {
        val scheduler = RewardFixture.scheduler()
        scheduler.addReady(work("a"))
        var now = START
        val ends =
            listOf(RewardCallEnd.Refused(), RewardCallEnd.Lost("cut"), RewardCallEnd.Misdirected, RewardCallEnd.Blocked)
        repeat(4) {
            for (end in ends) {
                val (delay, call) = scheduler.delayOfNextCall(now)!!
                now += delay + 10.milliseconds
                val actions = scheduler.onEnd(call.call, end, now)
                expectThat(actions.filterIsInstance<RewardAction.Finish>()).isEmpty()
                calls(actions).forEach { again -> scheduler.onEnd(again.call, RewardCallEnd.NotSent, now) }
            }
        }
    }

    /** Guards against an item that waits forever on a service that is down. */
    @Test
    fun `gives up an item at its deadline and aborts its call`() {
        val scheduler = RewardFixture.scheduler()
        scheduler.addReady(work("a", expiresAt = START + 1.seconds))
        val call = calls(scheduler.tick(START)).single()
        val actions = scheduler.tick(START + 1.seconds)
        expectThat(actions.filterIsInstance<RewardAction.Abort>().map { it.call }).containsExactly(call.call)
        expectThat(actions.filterIsInstance<RewardAction.Finish>().single().score).isNull()
        expectThat(scheduler.callsInProgress).isEqualTo(0)
    }

    /** Guards against an upstream that loses a call and gets it again while others are free. */
    @Test
    fun `repeats a lost call at once on another upstream`() {
        val scheduler = RewardFixture.scheduler()
        scheduler.addReady(work("a"))
        val first = calls(scheduler.tick(START)).single()
        val second = calls(scheduler.onEnd(first.call, RewardCallEnd.Lost("cut"), START)).single()
        expectThat(second.upstream.identity).isNotEqualTo(first.upstream.identity)
        expectThat(second.attempt).isEqualTo(2)
    }

    /** Guards against a call that ends each upstream that runs it, one after the other without a pause. */
    @Test
    fun `spaces the repeats of a call that is lost again and again`() {
        val scheduler = RewardFixture.scheduler(upstreams = 9)
        scheduler.addReady(work("a"))
        var now = START
        val delays = (1..8).map {
            val (delay, call) = scheduler.delayOfNextCall(now)!!
            now += delay + 10.milliseconds
            scheduler.onEnd(call.call, RewardCallEnd.Lost("crash"), now).let { actions ->
                // The second call starts at once; it is lost as well.
                calls(actions).forEach { again -> scheduler.onEnd(again.call, RewardCallEnd.Lost("crash"), now) }
            }
            delay
        }
        expectThat(delays.last()).isGreaterThanOrEqualTo(900.milliseconds).isLessThanOrEqualTo(1_100.milliseconds)
    }

    /** Guards against an upstream that asks for a pause and gets calls all the same, and against an endless pause. */
    @Test
    fun `observes the pause that an upstream asks for, up to a limit`() {
        val scheduler = RewardFixture.scheduler(upstreams = 1)
        scheduler.addReady(work("a"))
        val first = calls(scheduler.tick(START)).single()
        scheduler.onEnd(first.call, RewardCallEnd.Refused(300.milliseconds), START)
        val (delay, second) = scheduler.delayOfNextCall(START)!!
        expectThat(delay).isGreaterThanOrEqualTo(300.milliseconds).isLessThan(400.milliseconds)
        scheduler.onEnd(second.call, RewardCallEnd.Refused(1_000.seconds), START + delay)
        val (pause, _) = scheduler.delayOfNextCall(START + delay)!!
        expectThat(pause).isLessThanOrEqualTo(RewardOptions().maximumRefusalBackoff + 10.milliseconds)
    }

    /** Guards against a slow service whose calls are all timed out although it would respond in the end. */
    @Test
    fun `gives a lost call more time, up to the timeout of its route`() {
        val scheduler = RewardFixture.scheduler()
        scheduler.addReady(work("a"))
        var now = START
        val timeouts = (1..3).map {
            val (delay, call) = scheduler.delayOfNextCall(now)!!
            now += delay + call.timeout
            // A call that starts at once is lost too, so that each round observes one doubling.
            calls(scheduler.onEnd(call.call, RewardCallEnd.Lost("timeout"), now)).forEach { again ->
                scheduler.onEnd(again.call, RewardCallEnd.NotSent, now)
            }
            call.timeout
        }
        expectThat(timeouts.first()).isEqualTo(RewardFixture.TARGET * 2)
        expectThat(timeouts.last()).isEqualTo(RewardFixture.TIMEOUT)
    }

    /** Guards against calls to a service that the operator's routes no longer allow. */
    @Test
    fun `calls only services of the route in force`() {
        val scheduler = RewardFixture.scheduler()
        scheduler.addReady(work("a"))
        scheduler.routes = RewardFixture.routes(listOf(ServiceName("none")))
        expectThat(scheduler.tick(START)).isEmpty()
        scheduler.routes = RewardFixture.routes()
        expectThat(calls(scheduler.tick(START))).hasSize(1)
    }

    /** Guards against items and calls of a term of leadership that has ended. */
    @Test
    fun `holds nothing after it was cleared`() {
        val scheduler = RewardFixture.scheduler()
        scheduler.addReady(work("a"), work("b"))
        val started = calls(scheduler.tick(START))
        expectThat(scheduler.clear(START).map { it.call }).isEqualTo(started.map { it.call })
        expectThat(work("a").key in scheduler).isFalse()
        expectThat(scheduler.tick(START)).isEmpty()
    }
}
