package org.zinniahoist.gateway.core

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.zinniahoist.state.service.JobIdentifier
import org.zinniahoist.state.service.ServiceCommand
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests the scores of items over a leader's whole path: text, recording, reward call and result. */
internal class ItemRewardsTest {
    private val fixture = EngineFixture()

    /** Responses of the upstream that are withheld until the test completes them. */
    private val held = ConcurrentLinkedQueue<HttpResponse>()

    @AfterEach
    fun close() = fixture.close()

    private fun begin(vararg names: String) {
        fixture.routes(EngineFixture.route(), RewardServiceFixture.scoreRoute())
        fixture.activate()
        fixture.submit("j", *names.map { RewardServiceFixture.rewardedItem(it) }.toTypedArray())
    }

    private fun holdScores() {
        fixture.scorer = { HttpResponse.streaming().also(held::add) }
    }

    private fun releaseScores() {
        fixture.scorer = { RewardServiceFixture.scored(it, "score of ${it.identifier}") }
    }

    /** Guards against an item that is completed without its score. */
    @Test
    fun `completes an item with the stamp of its reward call`() {
        begin("a")
        expectThat(fixture.eventually { fixture.proposed.isNotEmpty() }).isTrue()
        expectThat(fixture.proposed.single().score).isEqualTo("score of r-a")
        expectThat(fixture.proposed.single().output).isEqualTo("text of a")
        expectThat(fixture.rewardCalls).containsExactly("r-a")
    }

    /** Guards against a reward call that precedes the last event of its text. */
    @Test
    fun `makes no reward call before the text is complete`() {
        fixture.responsesEnd = false
        begin("a")
        expectThat(fixture.eventually { fixture.requestedItems.isNotEmpty() }).isTrue()
        fixture.pass(300.milliseconds)
        expectThat(fixture.rewardCalls).isEmpty()
    }

    /** Guards against a leader that is lost during a reward call, after which the next one repeats the whole text. */
    @Test
    fun `repeats only the reward call after a change of the leader`() {
        holdScores()
        begin("a")
        expectThat(fixture.eventually { fixture.rewardCalls.size == 1 }).isTrue()
        fixture.deactivate()
        releaseScores()
        fixture.activate()
        expectThat(fixture.eventually { fixture.proposed.isNotEmpty() }).isTrue()
        expectThat(fixture.proposed.single().score).isEqualTo("score of r-a")
        expectThat(fixture.requestedItems).containsExactly("a")
        expectThat(fixture.rewardCalls).containsExactly("r-a", "r-a")
    }

    /** Guards against a leader that is lost before it records the score; the item must not stay open. */
    @Test
    fun `scores an item again when its score was not recorded`() {
        val recorded = fixture.log
        fixture.log = ResultLog { _, _, _ -> }
        begin("a")
        expectThat(fixture.eventually { fixture.proposed.size == 1 }).isTrue()
        fixture.deactivate()
        fixture.log = recorded
        fixture.activate()
        expectThat(fixture.eventually { fixture.proposed.size == 2 }).isTrue()
        expectThat(fixture.requestedItems).containsExactly("a")
        fixture.pass(200.milliseconds)
        expectThat(fixture.proposed).hasSize(2)
    }

    /** Guards against an answer that is lost after the service ran the call. */
    @Test
    fun `repeats a reward call whose response is cut off`() {
        fixture.scorer = { call ->
            if (call.number == 1) {
                HttpResponse.ofFailure(IllegalStateException("cut"))
            } else {
                RewardServiceFixture.scored(call, "second")
            }
        }
        begin("a")
        expectThat(fixture.eventually { fixture.proposed.isNotEmpty() }).isTrue()
        expectThat(fixture.proposed.single().score).isEqualTo("second")
    }

    /** Guards against a response without a stamp that is taken for a score. */
    @Test
    fun `repeats a reward call whose response has no stamp`() {
        fixture.scorer = { call ->
            if (call.number ==
                1
            ) {
                RewardServiceFixture.failed(call, HttpStatus.OK)
            } else {
                RewardServiceFixture.scored(call, "second")
            }
        }
        begin("a")
        expectThat(fixture.eventually { fixture.proposed.isNotEmpty() }).isTrue()
        expectThat(fixture.proposed.single().score).isEqualTo("second")
    }

    /** Guards against an item whose reward call fails forever, and against one that is given up too early. */
    @Test
    fun `gives up an item after as many failed reward calls as its route allows`() {
        fixture.scorer = { RewardServiceFixture.failed(it, HttpStatus.INTERNAL_SERVER_ERROR) }
        begin("a")
        expectThat(fixture.eventually { fixture.proposed.isNotEmpty() }).isTrue()
        expectThat(fixture.proposed.single().isCompleted).isFalse()
        expectThat(fixture.proposed.single().score).isNull()
        expectThat(fixture.rewardCalls).hasSize(RewardServiceFixture.scoreRoute().maximumAttempts)
    }

    /** Guards against refusals that are counted as failed calls. */
    @Test
    fun `does not count refused reward calls as failures`() {
        val refusals = RewardServiceFixture.scoreRoute().maximumAttempts + 1
        fixture.scorer = { call ->
            if (call.number <= refusals) {
                RewardServiceFixture.failed(call, HttpStatus.SERVICE_UNAVAILABLE)
            } else {
                RewardServiceFixture.scored(call, "last")
            }
        }
        begin("a")
        expectThat(fixture.eventually { fixture.proposed.isNotEmpty() }).isTrue()
        expectThat(fixture.proposed.single().score).isEqualTo("last")
    }

    /** Guards against reward calls for a job that its trainer has ended. */
    @Test
    fun `makes no reward call for a job that has ended`() {
        fixture.scorer = { RewardServiceFixture.failed(it, HttpStatus.SERVICE_UNAVAILABLE) }
        begin("a")
        expectThat(fixture.eventually { fixture.rewardCalls.isNotEmpty() }).isTrue()
        fixture.apply(ServiceCommand.EndJob(JobIdentifier("j")))
        fixture.pass(100.milliseconds)
        val calls = fixture.rewardCalls.size
        fixture.pass(1.seconds)
        expectThat(fixture.rewardCalls).hasSize(calls)
        expectThat(fixture.proposed).isEmpty()
    }

    /** Guards against a score of an earlier job that is joined with the result of a later one. */
    @Test
    fun `calls again for an item that a later job contains, without repeating its text`() {
        holdScores()
        begin("a")
        expectThat(fixture.eventually { fixture.rewardCalls.size == 1 }).isTrue()
        fixture.apply(ServiceCommand.EndJob(JobIdentifier("j")))
        releaseScores()
        fixture.submit("k", RewardServiceFixture.rewardedItem("a"))
        expectThat(fixture.eventually { fixture.proposed.isNotEmpty() }).isTrue()
        expectThat(fixture.requestedItems).containsExactly("a")
        expectThat(fixture.rewardCalls).containsExactly("r-a", "r-a")
    }

    /** Guards against reward calls on a route that does not exist yet. */
    @Test
    fun `makes the reward call once its route is configured`() {
        fixture.routes(EngineFixture.route())
        fixture.activate()
        fixture.submit("j", RewardServiceFixture.rewardedItem("a"))
        expectThat(fixture.eventually { fixture.requestedItems.isNotEmpty() }).isTrue()
        fixture.pass(300.milliseconds)
        expectThat(fixture.rewardCalls).isEmpty()
        fixture.routes(EngineFixture.route(), RewardServiceFixture.scoreRoute())
        expectThat(fixture.eventually { fixture.proposed.isNotEmpty() }).isTrue()
    }

    /** Guards against a burst of reward calls that takes all slots of a service from its live callers. */
    @Test
    fun `leaves half of the slots of the service to live callers`() {
        holdScores()
        val names = (1..20).map { "x$it" }
        begin(*names.toTypedArray())
        expectThat(fixture.eventually { fixture.requestedItems.size == names.size }).isTrue()
        fixture.pass(300.milliseconds)
        expectThat(fixture.rewardCalls).hasSize(RewardServiceFixture.SCORER_SLOTS / 2)
    }
}
