package org.zinniahoist.gateway.core

import org.junit.jupiter.api.Test
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.model.WorkspaceName
import org.zinniahoist.policy.dispatch.ItemText
import org.zinniahoist.policy.dispatch.ItemWork
import org.zinniahoist.state.StateCodec
import org.zinniahoist.state.service.BatchItem
import org.zinniahoist.state.service.BatchJob
import org.zinniahoist.state.service.ItemResult
import org.zinniahoist.state.service.JobIdentifier
import org.zinniahoist.state.service.ServiceCommand
import org.zinniahoist.state.service.ServiceStateMachine
import org.zinniahoist.state.service.StepTerms
import org.zinniahoist.state.service.TokenCounts
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import kotlin.random.Random

internal class JobPlannerTest {
    private val machine = ServiceStateMachine(SilentListener)
    private val planner = JobPlanner(machine, JobAgeTracker(), { 0 }, Random(1))
    private var index = 0L

    private fun apply(command: ServiceCommand) {
        machine.apply(++index, 0, StateCodec.encode(command))
    }

    private fun submit(
        job: String,
        minimumVersion: Long,
        vararg items: String,
        workspace: WorkspaceName? = null,
    ) {
        val terms = StepTerms(minimumVersion, ModelName("m"), WeightVersion(minimumVersion), wantedGroups = 1)
        val requests = items.map { EngineFixture.item(it) }
        apply(ServiceCommand.SubmitJob(BatchJob(JobIdentifier(job), "h", "/s/", requests, terms, workspace)))
    }

    /** Guards against placement without the counts that the trainer stated. */
    @Test
    fun `the token counts of an item reach the dispatcher`() {
        val plain = EngineFixture.item("a")
        val counts = TokenCounts(prompt = 540, maximumOutput = 400)
        val item = BatchItem(plain.identifier, plain.path, plain.headers, plain.body, 940, 350, counts = counts)
        apply(ServiceCommand.SubmitJob(BatchJob(JobIdentifier("j"), "h", "/s/", listOf(item, EngineFixture.item("b")))))
        val (counted, uncounted) = work("j")
        expectThat(listOf(counted.promptTokens, counted.expectedOutput, counted.maximumOutput))
            .containsExactly(540, 350, 400)
        expectThat(listOf(uncounted.promptTokens, uncounted.maximumOutput)).containsExactly(0, null)
    }

    /** Guards against a new leader that counts the groups of a job from the beginning. */
    @Test
    fun `groups that have begun and those that are complete are known from the log`() {
        val items = listOf("a" to "g1", "b" to "g1", "c" to "g2", "d" to "g2", "e" to "g3").map { (name, group) ->
            val plain = EngineFixture.item(name)
            BatchItem(plain.identifier, plain.path, plain.headers, plain.body, 10, group = group)
        }
        val terms = StepTerms(1, ModelName("m"), WeightVersion(1), wantedGroups = 2)
        apply(ServiceCommand.SubmitJob(BatchJob(JobIdentifier("j"), "h", "/s/", items, terms, WorkspaceName("w"))))
        val results = listOf("a", "b", "c").map { ItemResult(RequestIdentifier(it), isCompleted = true, "text") }
        apply(ServiceCommand.RecordResults(JobIdentifier("j"), results))
        val work = work("j")
        expectThat(work.map { it.isGroupBegun }).containsExactly(true, false)
        expectThat(work.map { it.wantedGroups }).containsExactly(1, 1)
        expectThat(work.map { it.workspace }.distinct()).containsExactly(WorkspaceName("w"))
    }

    private fun work(job: String): List<ItemWork> {
        val record = checkNotNull(machine.job(JobIdentifier(job)))
        return planner.plan(record, EngineFixture.route(), record.openItems(), Moment.ZERO).work
    }

    /**
     * Guards against a step that waits for a group of the step before, whose items run last because their earlier
     * results are complete but too old.
     */
    @Test
    fun `an item with a result in an earlier job is carried over`() {
        submit("j", 1, "a", "b")
        val result = ItemResult(RequestIdentifier("a"), isCompleted = true, "text", listOf(WeightVersion(1)))
        apply(ServiceCommand.RecordResults(JobIdentifier("j"), listOf(result)))
        apply(ServiceCommand.EndJob(JobIdentifier("j")))
        submit("k", 2, "c", "a", "b")
        expectThat(work("k").filter { it.isCarriedOver }.map { it.key.item.value }).containsExactly("a", "b")
    }

    /** Guards against samples that one workspace reads although another one's job produced them. */
    @Test
    fun `results and texts of a job are not reused for another workspace`() {
        submit("north", 1, "a", "b", "c", workspace = WorkspaceName("north"))
        val result = ItemResult(RequestIdentifier("a"), isCompleted = true, "secret")
        apply(ServiceCommand.RecordResults(JobIdentifier("north"), listOf(result)))
        val unlisted = ItemResult(RequestIdentifier("b"), isCompleted = true, "secret")
        planner.retainResults(JobIdentifier("north"), listOf(unlisted))
        val text = ItemText(listOf("secret"), lastNumber = 0)
        planner.retainTexts(JobIdentifier("north"), mapOf(RequestIdentifier("c") to text))
        submit("south", 1, "a", "b", "c", workspace = WorkspaceName("south"))
        submit("again", 1, "a", "b", "c", workspace = WorkspaceName("north"))
        val (south, again) = listOf("south", "again").map { job ->
            val record = checkNotNull(machine.job(JobIdentifier(job)))
            planner.plan(record, EngineFixture.route(), record.openItems(), Moment.ZERO)
        }
        expectThat(south.reused).isEmpty()
        expectThat(south.work.map { it.text.events.size }).containsExactly(0, 0, 0)
        expectThat(south.work.map { it.isCarriedOver }).containsExactly(false, false, false)
        expectThat(again.reused.map { it.item.value }).containsExactlyInAnyOrder("a", "b")
        expectThat(again.work.map { it.text.events.size }).containsExactly(1)
    }
}
