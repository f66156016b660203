package org.zinniahoist.gateway.core

import org.junit.jupiter.api.Test
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.policy.dispatch.ItemKey
import org.zinniahoist.state.service.ItemResult
import org.zinniahoist.state.service.JobIdentifier
import org.zinniahoist.wire.ServiceReply
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class ResultRecorderTest {
    private val replies = ArrayList<(ServiceReply) -> Unit>()
    private var answered = 0
    private val metrics = GatewayMetrics()
    private val recorder = ResultRecorder({ _, _, onReply -> replies += onReply }, metrics)

    private fun record() = recorder.record(JOB, ItemResult(ITEM, true, "text"), Moment.ZERO)

    /** Guards against a result that is dropped because the group temporarily rejects it. */
    @Test
    fun `retries a result until it is committed`() {
        record()
        replies.last()(ServiceReply.NotLeader(null))
        recorder.tick(Moment.ZERO + 50.milliseconds)
        expectThat(replies).hasSize(1)
        recorder.tick(Moment.ZERO + 100.milliseconds)
        expectThat(replies).hasSize(2)
        replies.last()(ServiceReply.OutcomeUnknown("lost"))
        recorder.tick(Moment.ZERO + 200.milliseconds)
        replies.last()(ServiceReply.Done)
        expectThat(KEY in recorder).isFalse()
        expectThat(metrics.text()).contains("zinniahoist_events_total{event=\"result\",outcome=\"NotLeader\"} 1.0")
    }

    /** Guards against an item that is blocked forever by a proposal without a reply. */
    @Test
    fun `retries a result without a reply`() {
        record()
        recorder.tick(Moment.ZERO + 4.seconds)
        expectThat(replies).hasSize(1)
        recorder.tick(Moment.ZERO + 5.seconds)
        expectThat(replies).hasSize(2)
    }

    /** Guards against a reply from an earlier term that is applied to a result of the current one. */
    @Test
    fun `ignores the reply to a discarded result`() {
        record()
        recorder.clear()
        record()
        replies.first()(ServiceReply.Done)
        expectThat(KEY in recorder).isTrue()
    }

    /** Guards against endless proposals for an expired job. */
    @Test
    fun `discards the result of an unknown job`() {
        record()
        replies.last()(ServiceReply.NotFound)
        expectThat(KEY in recorder).isFalse()
    }

    /** Guards against a result that is always rejected and is proposed ten times per second indefinitely. */
    @Test
    fun `backs off when a result is rejected repeatedly`() {
        record()
        val end = Moment.ZERO + 20.seconds
        var now = Moment.ZERO
        while (now < end) {
            while (answered < replies.size) replies[answered++](ServiceReply.Unavailable("the command is too large"))
            now += 50.milliseconds
            recorder.tick(now)
        }
        expectThat(replies.size).isLessThan(20)
        expectThat(KEY in recorder).isTrue()
    }

    /** Guards against a result that is delayed for many seconds after the group accepts commands again. */
    @Test
    fun `retries a rejected result within two seconds`() {
        record()
        repeat(20) {
            replies.last()(ServiceReply.Unavailable("no room"))
            recorder.tick(Moment.ZERO + 2.seconds * (it + 1))
            expectThat(replies).hasSize(it + 2)
        }
    }

    /** Guards against log space that is used for results of a job that has ended. */
    @Test
    fun `returns the uncommitted results of an ended job`() {
        record()
        expectThat(recorder.forget(JOB).map { it.item }).containsExactly(ITEM)
        replies.last()(ServiceReply.NotLeader(null))
        recorder.tick(Moment.ZERO + 10.seconds)
        expectThat(replies).hasSize(1)
        expectThat(KEY in recorder).isFalse()
    }

    private companion object {
        val JOB = JobIdentifier("j")
        val ITEM = RequestIdentifier("a")
        val KEY = ItemKey("j", ITEM)
    }
}
