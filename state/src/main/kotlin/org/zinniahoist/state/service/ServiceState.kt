@file:OptIn(ExperimentalSerializationApi::class)

package org.zinniahoist.state.service

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.Revision
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.state.StateCodec
import java.util.concurrent.ConcurrentHashMap

/** A configuration as stored in the replicated state, with its document in compressed form. */
@Serializable
public class StoredConfiguration(
    public val revision: Revision,
    @ByteString public val document: ByteArray,
)

/**
 * A job with its results and recorded texts.
 *
 * Only the thread of the replica changes it; other threads see a prefix of the results.
 *
 * @property submittedMilliseconds wall time at the leader that accepted the job.
 */
public class JobRecord(
    public val job: BatchJob,
    public val submittedMilliseconds: Long,
) {
    @Volatile
    private var recordedResults: List<RecordedResult> = emptyList()

    /** Items by identifier; the first item wins if several have the same identifier. */
    private val itemsByIdentifier by lazy { job.items.asReversed().associateBy { it.identifier } }

    /** Identifiers of the items in [recordedResults]; confined to the thread of the replica. */
    private val itemsWithResult = HashSet<RequestIdentifier>()

    private val textsByItem = ConcurrentHashMap<RequestIdentifier, RecordedText>()

    private val failuresByItem = ConcurrentHashMap<RequestIdentifier, ItemFailures>()

    /** Whether the trainer has ended the job. */
    @Volatile
    public var isEnded: Boolean = false
        private set

    /** Size of the retained results in bytes, in encoded form. */
    public val resultBytes: Long get() = commands().sumOf { it.size.toLong() }

    /** Total size of the request bodies of the items and their rewards, in bytes. */
    public val bodyBytes: Long by lazy { job.items.sumOf { it.body.size.toLong() + (it.reward?.body?.size ?: 0) } }

    /** Compressed size of the recorded texts of items without a result, in bytes. */
    public val textBytes: Long get() = textsByItem.values.sumOf { it.bytes }

    /** Results in the order in which they were recorded. */
    public val results: List<RecordedResult> get() = recordedResults

    /** Returns the items without a result. */
    public fun openItems(): List<BatchItem> {
        val done = results.mapTo(HashSet()) { it.item }
        return job.items.filter { it.identifier !in done }
    }

    /** Returns the item with [identifier], or null. */
    public fun item(identifier: RequestIdentifier): BatchItem? = itemsByIdentifier[identifier]

    /** Returns the recorded text of the item with [identifier], or null if there is none or the item has a result. */
    public fun text(identifier: RequestIdentifier): RecordedText? = textsByItem[identifier]

    /** Returns the recorded failures of the item with [identifier]. */
    public fun failures(identifier: RequestIdentifier): ItemFailures =
        failuresByItem[identifier] ?: ItemFailures(identifier)

    /** Records [failures], unless the job does not contain their item. */
    internal fun addFailures(failures: ItemFailures) {
        if (failures.item in itemsByIdentifier) failuresByItem.merge(failures.item, failures, ItemFailures::max)
    }

    /** Returns the failures of all items that have any. */
    internal fun allFailures(): List<ItemFailures> = failuresByItem.values.toList()

    /**
     * Appends [part] to the text of its item, or replaces the text if [part] is the first part of another one.
     *
     * A part is ignored if it leaves a gap or if its item has a result.
     */
    internal fun addTextPart(part: TextPart) {
        if (part.item !in itemsByIdentifier || part.item in itemsWithResult) return
        val extended = if (part.after == null) RecordedText(listOf(part)) else textsByItem[part.item]?.plus(part)
        if (extended != null) textsByItem[part.item] = extended
    }

    /** Returns all parts of the recorded texts. */
    internal fun textParts(): List<TextPart> = textsByItem.values.flatMap { it.parts }

    /** Appends the [results] of [command] for items that have none; their outputs stay in the encoded command. */
    internal fun addResults(results: List<ItemResult>, command: ByteArray) {
        val newResults = results.withIndex()
            .filter { (_, result) -> result.item in itemsByIdentifier && itemsWithResult.add(result.item) }
            .map { (position, result) -> RecordedResult(result, command, position) }
        if (newResults.isNotEmpty()) recordedResults = recordedResults + newResults
        newResults.forEach { textsByItem.remove(it.item) }
    }

    /** Returns the encoded commands that recorded the results, in order and without duplicates. */
    internal fun commands(): List<ByteArray> = buildList {
        for (result in results) if (lastOrNull() !== result.command) add(result.command)
    }

    internal fun end() {
        isEnded = true
    }
}

/** A replica that is marked for removal from the consensus group. */
@Serializable
public data class Retirement(
    public val node: String,
    public val instance: InstanceName,
)

/**
 * Snapshot form of a [JobRecord].
 *
 * @property commands commands that recorded its results.
 * @property textParts recorded texts of items without a result.
 * @property failures failed runs of items; missing in snapshots of versions that did not record them.
 */
@Serializable
internal class JobSnapshot(
    val job: BatchJob,
    val submittedMilliseconds: Long,
    val isEnded: Boolean,
    val commands: List<ListingCommand>,
    val textParts: List<TextPart> = emptyList(),
    val failures: List<ItemFailures> = emptyList(),
) {
    fun restore(): JobRecord {
        val record = JobRecord(job, submittedMilliseconds)
        for (listing in commands) {
            val command = StateCodec.decode<ServiceCommand>(listing.command)
            record.addResults((command as ServiceCommand.RecordResults).results, listing.command)
        }
        textParts.forEach(record::addTextPart)
        failures.forEach(record::addFailures)
        if (isEnded) record.end()
        return record
    }

    companion object {
        fun of(record: JobRecord): JobSnapshot = JobSnapshot(
            record.job,
            record.submittedMilliseconds,
            record.isEnded,
            record.commands().map(::ListingCommand),
            record.textParts(),
            record.allFailures(),
        )
    }
}

/** An encoded [ServiceCommand.RecordResults]. */
@Serializable
internal class ListingCommand(@ByteString val command: ByteArray)

/** Snapshot form of the state of a [ServiceStateMachine]. */
@Serializable
internal class ServiceSnapshot(
    val configuration: StoredConfiguration?,
    val versions: Map<ModelName, WeightVersion>,
    val jobs: List<JobSnapshot>,
    val retirements: List<Retirement>,
    val usage: UsageSnapshot = UsageSnapshot(),
    val crashes: List<RecordedCrash> = emptyList(),
)
