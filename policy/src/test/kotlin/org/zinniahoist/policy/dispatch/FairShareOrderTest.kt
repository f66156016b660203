package org.zinniahoist.policy.dispatch

import org.junit.jupiter.api.Test
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.model.WorkspaceName
import org.zinniahoist.policy.dispatch.DispatchFixture.START
import org.zinniahoist.policy.dispatch.DispatchFixture.starts
import org.zinniahoist.policy.dispatch.DispatchFixture.upstream
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class FairShareOrderTest {
    private val dispatcher = ItemDispatcher(options = DispatchOptions(itemOrder = ItemOrderKind.FAIR_SHARE))

    private fun item(
        name: String,
        workspace: String? = null,
        priority: Int = 0,
        group: String? = null,
        expected: Int = 10,
        job: String = "job",
        due: Duration = 7.seconds,
        wanted: Int? = null,
    ) = DispatchFixture.item(name).copy(
        key = ItemKey(job, RequestIdentifier(name)),
        dueAt = START + due,
        group = group,
        expectedTokens = expected,
        priority = priority,
        workspace = workspace?.let(::WorkspaceName),
        wantedGroups = wanted,
    )

    private fun slots(count: Int, dispatcher: ItemDispatcher = this.dispatcher) =
        dispatcher.registry.relist(listOf(upstream("a", slots = count)))

    private fun started(now: Moment = START) = starts(dispatcher.place(now))

    private fun List<DispatchAction.Start>.names() = map { it.key.item.value }

    /** Guards against urgent items that wait behind others with an earlier due time. */
    @Test
    fun `a higher priority goes first`() {
        slots(2)
        dispatcher.submit(listOf(item("early", priority = 1, due = 1.seconds), item("urgent", priority = 0)))
        expectThat(started().names()).containsExactly("urgent", "early")
    }

    /** Guards against a workspace that gets no slots while another has many items with an earlier due time. */
    @Test
    fun `workspaces with equal items share the slots`() {
        slots(4)
        dispatcher.submit((1..6).map { item("large$it", workspace = "large", due = 1.seconds) })
        dispatcher.submit((1..2).map { item("small$it", workspace = "small") })
        expectThat(started().names()).containsExactly("large1", "small1", "large2", "small2")
    }

    /** Guards against shares by the number of items: a workspace with long items would take most of the capacity. */
    @Test
    fun `the share of a workspace is its running tokens`() {
        slots(4)
        dispatcher.submit((1..4).map { item("long$it", workspace = "w1", expected = 300) })
        dispatcher.submit((1..4).map { item("short$it", workspace = "w2", expected = 100) })
        expectThat(started().names()).containsExactly("long1", "short1", "short2", "short3")
        expectThat(dispatcher.runningTokens)
            .isEqualTo(mapOf(WorkspaceName("w1") to 300L, WorkspaceName("w2") to 300L))
    }

    /** Guards against a share that keeps the tokens of runs that have ended, so that its workspace waits for ever. */
    @Test
    fun `ended runs leave no share`() {
        slots(4)
        dispatcher.submit((1..4).map { item("x$it", workspace = "w$it") })
        val runs = started()
        dispatcher.onEnd(runs[0].run, RunEnd.Broken("reset"), START)
        dispatcher.onBegin(runs[1].run, WeightVersion(1), START)
        dispatcher.onEvent(runs[1].run, 1, "e", null, START)
        dispatcher.onEnd(runs[1].run, RunEnd.Completed, START)
        expectThat(dispatcher.runningTokens.size).isEqualTo(2)
        dispatcher.clear()
        expectThat(dispatcher.runningTokens).isEqualTo(emptyMap())
    }

    /** Guards against an item that never starts because items of a higher priority arrive all the time. */
    @Test
    fun `an item that has waited for two seconds goes before newer ones of a higher priority`() {
        slots(0)
        dispatcher.submit(listOf(item("old", priority = 3)))
        dispatcher.place(START)
        dispatcher.submit(listOf(item("new", priority = 0)))
        dispatcher.place(START + 1_900.milliseconds)
        slots(1)
        expectThat(started(START + 2_000.milliseconds).names()).containsExactly("old")
    }

    /** Guards against slots that go to groups which the trainer does not wait for, before a job that is due later. */
    @Test
    fun `groups that the trainer does not need go last`() {
        slots(3)
        val groups = listOf("g1" to 30, "g2" to 20, "g3" to 10)
        dispatcher.submit(
            groups.map { (group, expected) ->
                item(group, group = group, expected = expected, wanted = 2)
            },
        )
        dispatcher.submit(listOf(item("later", job = "other", due = 9.seconds)))
        expectThat(started().names()).containsExactly("g1", "g2", "later")
    }

    /** Guards against a needed group that goes last because an item of another group was given up. */
    @Test
    fun `a group with an item that was given up is replaced by another`() {
        slots(2)
        val lost = item("lost", group = "g1", expected = 30, wanted = 1).copy(maximumFailures = 1)
        dispatcher.submit(listOf(lost, item("next", group = "g2", wanted = 1)))
        dispatcher.submit(listOf(item("later", job = "other", due = 9.seconds)))
        dispatcher.registry.relist(listOf(upstream("a", slots = 1)))
        val run = started().single()
        dispatcher.onEnd(run.run, RunEnd.Failed, START)
        dispatcher.onFailureRecorded(run.key, 1, START)
        expectThat(started(START + 100.milliseconds).names()).containsExactly("next")
    }

    /** Guards against a surplus item that waits for longer than the 5 s in which it has to be at an upstream. */
    @Test
    fun `a surplus item goes by its due time again after four seconds`() {
        slots(1)
        dispatcher.submit(
            listOf(item("g1", group = "g1", expected = 30, wanted = 1), item("g2", group = "g2", wanted = 1)),
        )
        val run = started().single()
        dispatcher.submit(listOf(item("later", job = "other", due = 9.seconds)))
        val now = START + 4.seconds
        dispatcher.onEvent(run.run, 1, "e", null, now)
        dispatcher.onEnd(run.run, RunEnd.Completed, now)
        expectThat(started(now).names()).containsExactly("g2")
    }

    /** Guards against a change of order for deployments with a single workspace and priority. */
    @Test
    fun `one class of items starts in the order of the baseline`() {
        val differing = (1..SEEDS).filter { seed ->
            val orders = ItemOrderKind.entries.map { kind ->
                val random = Random(seed)
                val tested = ItemDispatcher(options = DispatchOptions(itemOrder = kind))
                slots(random.nextInt(1, 30), tested)
                tested.submit(
                    (1..40).map {
                        item(
                            "x$it",
                            group = "g${random.nextInt(5)}",
                            expected = random.nextInt(5),
                            job = "j${random.nextInt(3)}",
                            due = random.nextInt(1, 4).seconds,
                        ).copy(isCarriedOver = random.nextBoolean())
                    },
                )
                starts(tested.place(START)).names()
            }
            orders.distinct().size > 1
        }
        expectThat(differing).isEmpty()
    }

    /** Guards against a wait for the share of a workspace that looks like a lack of upstreams. */
    @Test
    fun `the report of a waiting item names the items ahead`() {
        slots(1)
        dispatcher.submit(listOf(item("x1", workspace = "w1"), item("x2", workspace = "w1")))
        started()
        dispatcher.submit(listOf(item("y", workspace = "w2")))
        dispatcher.place(START)
        expectThat(dispatcher.waitReport(item("x2").key, START)?.reason).isEqualTo(WaitReason.Share(ahead = 1))
        expectThat(dispatcher.waitReport(item("y").key, START)?.reason).isEqualTo(WaitReason.NoCandidate)
    }

    private companion object {
        const val SEEDS = 200
    }
}
