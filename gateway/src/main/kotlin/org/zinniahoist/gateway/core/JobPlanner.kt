package org.zinniahoist.gateway.core

import org.zinniahoist.model.Moment
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.model.WorkspaceName
import org.zinniahoist.policy.dispatch.ItemKey
import org.zinniahoist.policy.dispatch.ItemText
import org.zinniahoist.policy.dispatch.ItemWork
import org.zinniahoist.policy.dispatch.WeightConstraints
import org.zinniahoist.policy.reward.RewardWork
import org.zinniahoist.policy.routes.Route
import org.zinniahoist.policy.routes.drawService
import org.zinniahoist.state.service.BatchItem
import org.zinniahoist.state.service.BatchJob
import org.zinniahoist.state.service.ItemFailures
import org.zinniahoist.state.service.ItemResult
import org.zinniahoist.state.service.JobIdentifier
import org.zinniahoist.state.service.JobRecord
import org.zinniahoist.state.service.RecordedText
import org.zinniahoist.state.service.ServiceStateMachine
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Remaining work for a set of items of a job. */
internal class JobPlan(
    /** Items to run. */
    val work: List<ItemWork>,
    /** Results that an earlier job produced for the same items. */
    val reused: List<ItemResult>,
    /** Items that need a score, including those of [texts]. */
    val rewards: List<RewardWork> = emptyList(),
    /** Complete texts that lack only their score. */
    val texts: List<CompleteItemText> = emptyList(),
) {
    /** Number of items that resume from partial text. */
    private val resumed: Int get() = work.count { it.text.events.isNotEmpty() }

    override fun toString(): String = "reused=${reused.size} resumed=$resumed unscored=${texts.size}"
}

/** Complete text of an item that needs a score; [isRecorded] if the job's replicated state holds it. */
internal class CompleteItemText(
    val key: ItemKey,
    val text: ItemText,
    val isRecorded: Boolean,
)

/** Decides whether to run, resume or skip each open item of a job. All functions run on the engine thread. */
internal class JobPlanner(
    private val machine: ServiceStateMachine,
    private val ages: JobAgeTracker,
    private val wallMilliseconds: () -> Long,
    private val random: Random,
) {
    private val retainedTexts = LinkedHashMap<OwnedItem, ItemText>()
    private val retainedResults = LinkedHashMap<OwnedItem, ItemResult>()

    /** Returns the plan for [items] of [record] on [route]. */
    fun plan(
        record: JobRecord,
        route: Route,
        items: List<BatchItem>,
        now: Moment,
        priority: Int = route.priority,
    ): JobPlan {
        val progress = JobGroups(record)
        val terms = termsOf(record.job, route)
        val earlier = earlierResults(record.job, items).filterValues { ItemText(versions = it.versions).fits(terms) }
        val (rewarded, plain) = items.partition { it.reward != null }
        val texts = rewarded.mapNotNull { completeText(record, it, terms, earlier[it.identifier]) }
        val complete = texts.mapTo(HashSet()) { it.key.item }
        val reused = plain.mapNotNull { earlier[it.identifier]?.read?.invoke() }
        val finished = complete + reused.map { it.item }
        return JobPlan(
            work = items.filter { it.identifier !in finished }.map {
                val work = work(record, route, it, now)
                work.copy(
                    priority = priority,
                    workspace = record.job.workspace,
                    wantedGroups = progress.wanted,
                    isGroupBegun = work.isCarriedOver || work.group in progress.begun,
                )
            },
            reused = reused,
            rewards = rewarded.map { rewardWork(record, route, it, now) },
            texts = texts,
        )
    }

    /** Returns the complete text of [item], which is recorded in its job or stems from an [earlier] one, or null. */
    private fun completeText(
        record: JobRecord,
        item: BatchItem,
        terms: WeightConstraints?,
        earlier: EarlierResult?,
    ): CompleteItemText? {
        val key = ItemKey(record.job.identifier.value, item.identifier)
        val recorded = record.text(item.identifier)?.takeIf { it.isComplete }?.toItemText()?.takeIf { it.fits(terms) }
        if (recorded != null) return CompleteItemText(key, recorded, isRecorded = true)
        val result = earlier?.read?.invoke() ?: return null
        // The events of a result can't be told apart any more, but a complete text is never resumed.
        val text = ItemText(listOf(result.output), lastNumber = 0, result.versions, identifier = random.nextLong())
        return CompleteItemText(key, text, isRecorded = false)
    }

    /** Retains the partial [texts] of unfinished items of [job] for a later job of its workspace. */
    fun retainTexts(job: JobIdentifier, texts: Map<RequestIdentifier, ItemText>) {
        val workspace = workspaceOf(job)
        retainedTexts += texts.mapKeys { (item, _) -> OwnedItem(workspace, item) }
        while (retainedTexts.size > MAXIMUM_RETAINED_ITEMS) retainedTexts.remove(retainedTexts.keys.first())
    }

    /** Retains [results] not committed before [job] ended, for a later job of its workspace with the same items. */
    fun retainResults(job: JobIdentifier, results: List<ItemResult>) {
        val workspace = workspaceOf(job)
        results.filter { it.isCompleted }.forEach { retainedResults[OwnedItem(workspace, it.item)] = it }
        while (retainedResults.size > MAXIMUM_RETAINED_ITEMS) retainedResults.remove(retainedResults.keys.first())
    }

    /** Discards the retained text of the item with [key]. */
    fun discardText(key: ItemKey) {
        retainedTexts.remove(OwnedItem(workspaceOf(JobIdentifier(key.job)), key.item))
    }

    private fun workspaceOf(job: JobIdentifier): WorkspaceName? = machine.job(job)?.job?.workspace

    /** Returns results that earlier jobs produced for [items], as trainers resubmit groups that were not complete. */
    private fun earlierResults(job: BatchJob, items: List<BatchItem>): Map<RequestIdentifier, EarlierResult> {
        val wanted = items.mapTo(HashSet()) { it.identifier }
        val unlisted = retainedResults.filterKeys { it.workspace == job.workspace && it.item in wanted }
            .map { (owned, result) -> owned.item to EarlierResult(result.versions) { result } }
            .toMap()
        val listed = otherJobs(job)
            .flatMap { it.results }
            .filter { it.isCompleted && it.item in wanted }
            .associate { it.item to EarlierResult(it.versions, it::whole) }
        return unlisted + listed
    }

    /**
     * Returns true if another job contains [item] as well. A trainer submits the items of an incomplete group again and
     * waits for that group, whether an earlier job has results for some of them or not.
     */
    private fun isInAnotherJob(job: BatchJob, item: RequestIdentifier): Boolean =
        otherJobs(job).any { it.item(item) != null }

    /** Returns the other jobs of the workspace of [job]; texts and results must not pass from one to another. */
    private fun otherJobs(job: BatchJob): List<JobRecord> =
        machine.jobs.filter { it.job.identifier != job.identifier && it.job.workspace == job.workspace }

    private fun termsOf(job: BatchJob, route: Route): WeightConstraints? = job.step?.let {
        WeightConstraints(it.model, it.minimumVersion, route.batch?.singleVersion == true)
    }

    private fun work(
        record: JobRecord,
        route: Route,
        item: BatchItem,
        now: Moment,
    ): ItemWork {
        val deadlines = deadlines(record, route, now)
        val terms = termsOf(record.job, route)
        val text = earlierText(record, item.identifier, terms)
        return ItemWork(
            key = ItemKey(record.job.identifier.value, item.identifier),
            service = route.drawService(random),
            dueAt = deadlines.dueAt,
            expiresAt = deadlines.expiresAt,
            maximumFailures = route.maximumAttempts,
            failures = earlierFailures(record, route, item) { it.runs },
            group = item.group,
            isCarriedOver = isInAnotherJob(record.job, item.identifier),
            expectedTokens = item.estimatedTokens,
            terms = terms,
            text = text ?: ItemText(),
            promptTokens = item.counts?.prompt ?: 0,
            maximumOutput = item.counts?.maximumOutput,
        )
    }

    private fun rewardWork(
        record: JobRecord,
        route: Route,
        item: BatchItem,
        now: Moment,
    ): RewardWork {
        val request = checkNotNull(item.reward) { "item ${item.identifier} needs no score" }
        val deadlines = deadlines(record, route, now)
        return RewardWork(
            key = ItemKey(record.job.identifier.value, item.identifier),
            host = request.host,
            path = request.path,
            group = item.group,
            dueAt = deadlines.dueAt,
            expiresAt = deadlines.expiresAt,
            maximumFailures = route.maximumAttempts,
            failures = earlierFailures(record, route, item) { it.rewardCalls },
        )
    }

    /**
     * Returns the number of failures that count for [item]: those in its job, and those in other jobs of the workspace
     * above the number that [MAXIMUM_SUBMISSIONS] submissions of it may have in all.
     */
    private fun earlierFailures(
        record: JobRecord,
        route: Route,
        item: BatchItem,
        count: (ItemFailures) -> Int,
    ): Int {
        val own = count(record.failures(item.identifier))
        val others = otherJobs(record.job).sumOf { count(it.failures(item.identifier)) }
        return own + maxOf(0, others - (MAXIMUM_SUBMISSIONS - 1) * route.maximumAttempts)
    }

    private fun deadlines(record: JobRecord, route: Route, now: Moment): Deadlines {
        val batch = checkNotNull(route.batch) { "route ${route.name} of a batch job has no batch terms" }
        val age = ages.minimumAge(record.job.identifier, now)
        val wallAge = (wallMilliseconds() - record.submittedMilliseconds).milliseconds
        return Deadlines(
            // The due time affects only the order of jobs, so a wall-clock jump does little harm.
            dueAt = now + batch.due - maxOf(age, wallAge),
            expiresAt = now + batch.keep - age,
        )
    }

    /** Returns the longer of the retained and the recorded text of [item], considering only texts that fit [terms]. */
    private fun earlierText(record: JobRecord, item: RequestIdentifier, terms: WeightConstraints?): ItemText? {
        val recorded = record.text(item)?.takeIf { !it.isComplete && ItemText(versions = it.versions).fits(terms) }
        val kept = retainedTexts[OwnedItem(record.job.workspace, item)]?.takeIf { it.fits(terms) }
        val isRecordedLonger = (recorded?.lastNumber ?: -1) > (kept?.lastNumber ?: -1)
        return if (recorded != null && isRecordedLonger) recorded.toItemText() else kept
    }

    private fun RecordedText.toItemText() = ItemText(events(), lastNumber, versions, identifier)

    /** Item of a job that belongs to [workspace]. Different workspaces may use the same identifiers. */
    private data class OwnedItem(
        val workspace: WorkspaceName?,
        val item: RequestIdentifier,
    )

    private class Deadlines(
        val dueAt: Moment,
        val expiresAt: Moment,
    )

    /** Result of an earlier job. [read] unpacks the output and is called only if [versions] fit the new job's terms. */
    private class EarlierResult(
        val versions: List<WeightVersion>,
        val read: () -> ItemResult,
    )

    private companion object {
        /** Maximum number of retained texts, and of results; covers the unfinished samples of several steps. */
        const val MAXIMUM_RETAINED_ITEMS = 2_000

        /** Number of submissions of an item that may each have the failed runs that its route allows. */
        const val MAXIMUM_SUBMISSIONS = 3
    }
}
