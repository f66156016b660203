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

    /** Guards against a result that is dropped because the group could not take it at that moment. */
    @Test
    fun `proposes a result again until it is listed`() {
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

    /** Guards against an item that is held for ever by a proposal without an answer. */
    @Test
    fun `proposes a result again that has no answer`() {
        record()
        recorder.tick(Moment.ZERO + 4.seconds)
        expectThat(replies).hasSize(1)
        recorder.tick(Moment.ZERO + 5.seconds)
        expectThat(replies).hasSize(2)
    }

    /** Guards against an answer to an earlier term that counts for a result of the present one. */
    @Test
    fun `ignores the answer to a result that was forgotten`() {
        record()
        recorder.clear()
        record()
        replies.first()(ServiceReply.Done)
        expectThat(KEY in recorder).isTrue()
    }

    /** Guards against proposals for a job that has expired. */
    @Test
    fun `forgets the result of an unknown job`() {
        record()
        replies.last()(ServiceReply.NotFound)
        expectThat(KEY in recorder).isFalse()
    }

    /** Guards against a result that is always refused and is proposed ten times a second for good. */
    @Test
    fun `proposes a refused result ever more seldom`() {
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

    /** Guards against a result that waits for seconds after the group takes commands again. */
    @Test
    fun `proposes a refused result again within two seconds`() {
        record()
        repeat(20) {
            replies.last()(ServiceReply.Unavailable("no room"))
            recorder.tick(Moment.ZERO + 2.seconds * (it + 1))
            expectThat(replies).hasSize(it + 2)
        }
    }

    /** Guards against bytes in the log for results that no reader of the job waits for. */
    @Test
    fun `hands back the results of a job that has ended`() {
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
