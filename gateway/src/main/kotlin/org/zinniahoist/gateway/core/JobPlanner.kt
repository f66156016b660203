package org.zinniahoist.gateway.core

import org.zinniahoist.model.Moment
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.policy.dispatch.DraftTerms
import org.zinniahoist.policy.dispatch.ItemKey
import org.zinniahoist.policy.dispatch.ItemText
import org.zinniahoist.policy.dispatch.ItemWork
import org.zinniahoist.policy.routes.Route
import org.zinniahoist.policy.routes.drawService
import org.zinniahoist.state.service.BatchItem
import org.zinniahoist.state.service.BatchJob
import org.zinniahoist.state.service.ItemResult
import org.zinniahoist.state.service.JobRecord
import org.zinniahoist.state.service.RecordedText
import org.zinniahoist.state.service.ServiceStateMachine
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** What is left to do for some items of a job. */
internal class JobPlan(
    /** Items that have to run. */
    val work: List<ItemWork>,
    /** Results that an earlier job made of the same items. */
    val reused: List<ItemResult>,
) {
    /** Items that go on after a text that was made before. */
    val resumed: Int get() = work.count { it.text.events.isNotEmpty() }
}

/** Says how items of jobs are to be run. All functions run on the engine's thread. */
internal class JobPlanner(
    private val machine: ServiceStateMachine,
    private val ages: JobAges,
    private val wallMilliseconds: () -> Long,
    private val random: Random,
) {
    private val keptTexts = LinkedHashMap<RequestIdentifier, ItemText>()
    private val keptResults = LinkedHashMap<RequestIdentifier, ItemResult>()

    /** Returns the plan for [items] of [record] on [route]. */
    fun plan(
        record: JobRecord,
        route: Route,
        items: List<BatchItem>,
        now: Moment,
    ): JobPlan {
        val terms = termsOf(record.job, route)
        val earlier = earlierResults(record.job, items).filterValues { ItemText(versions = it.versions).fits(terms) }
        val work = items.filter { it.identifier !in earlier }.map { work(record, route, it, now) }
        return JobPlan(work, items.mapNotNull { earlier[it.identifier]?.read?.invoke() })
    }

    /** Keeps the [texts] of unfinished items for a later job that holds them again. */
    fun keep(texts: Map<RequestIdentifier, ItemText>) {
        keptTexts += texts
        while (keptTexts.size > KEPT_TEXTS) keptTexts.remove(keptTexts.keys.first())
    }

    /** Keeps [results] that were not listed when their job ended, for a later job that holds the items again. */
    fun keepResults(results: List<ItemResult>) {
        results.filter { it.isCompleted }.forEach { keptResults[it.item] = it }
        while (keptResults.size > KEPT_TEXTS) keptResults.remove(keptResults.keys.first())
    }

    /** The text of [item] is needed no more. */
    fun forget(item: RequestIdentifier) {
        keptTexts.remove(item)
    }

    /** Groups that were not complete come again; what an earlier job made of them may be used. */
    private fun earlierResults(job: BatchJob, items: List<BatchItem>): Map<RequestIdentifier, EarlierResult> {
        val wanted = items.mapTo(HashSet()) { it.identifier }
        val unlisted = keptResults.filterKeys { it in wanted }.mapValues { (_, result) ->
            EarlierResult(result.versions) { result }
        }
        val listed = machine.jobs
            .filter { it.job.identifier != job.identifier }
            .flatMap { it.results }
            .filter { it.isCompleted && it.item in wanted }
            .associate { it.item to EarlierResult(it.versions, it::whole) }
        return unlisted + listed
    }

    private fun termsOf(job: BatchJob, route: Route): DraftTerms? = job.step?.let {
        DraftTerms(it.model, it.minimumVersion, route.batch?.singleVersion == true)
    }

    private fun work(
        record: JobRecord,
        route: Route,
        item: BatchItem,
        now: Moment,
    ): ItemWork {
        val batch = checkNotNull(route.batch) { "a job on the plain route ${route.name}" }
        val age = ages.atLeast(record.job.identifier, now)
        val wallAge = (wallMilliseconds() - record.submittedMilliseconds).milliseconds
        val terms = termsOf(record.job, route)
        val text = earlierText(record, item.identifier, terms)
        return ItemWork(
            key = ItemKey(record.job.identifier.value, item.identifier),
            service = route.drawService(random),
            // Only orders the jobs, for which a wall clock that has jumped does little harm.
            dueAt = now + batch.due - maxOf(age, wallAge),
            giveUpAt = now + batch.keep - age,
            maximumFailures = route.maximumAttempts,
            group = item.group,
            isCarriedOver = item.identifier in keptTexts,
            expectedTokens = item.tokensToExpect,
            terms = terms,
            text = text ?: ItemText(),
        )
    }

    /** Returns the longest text of [item] that fits [terms], of those kept here and those recorded for the job. */
    private fun earlierText(record: JobRecord, item: RequestIdentifier, terms: DraftTerms?): ItemText? {
        val recorded = record.text(item)?.takeIf { ItemText(versions = it.versions).fits(terms) }
        val kept = keptTexts[item]?.takeIf { it.fits(terms) }
        val isRecordedLonger = (recorded?.lastNumber ?: -1) > (kept?.lastNumber ?: -1)
        return if (recorded != null && isRecordedLonger) recorded.toItemText() else kept
    }

    private fun RecordedText.toItemText() = ItemText(events(), lastNumber, versions, identifier)

    /** A result of an earlier job. Its text is read only if its [versions] fit. */
    private class EarlierResult(
        val versions: List<WeightVersion>,
        val read: () -> ItemResult,
    )

    private companion object {
        /** Several steps of unfinished samples. */
        const val KEPT_TEXTS = 2_000
    }
}
