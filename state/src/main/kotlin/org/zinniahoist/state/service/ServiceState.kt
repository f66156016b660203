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

/** A stored configuration. */
@Serializable
public class StoredConfiguration(
    public val revision: Revision,
    @ByteString public val document: ByteArray,
)

/**
 * A job with what became of it. Changed by the thread of the replica only; other threads see a prefix of the results.
 *
 * @property submittedMilliseconds wall time of the leader that accepted the job.
 */
public class JobRecord(
    public val job: BatchJob,
    public val submittedMilliseconds: Long,
) {
    @Volatile
    private var listed: List<ListedResult> = emptyList()

    /** The first item with each identifier. */
    private val itemsByIdentifier by lazy { job.items.asReversed().associateBy { it.identifier } }

    /** Items of [listed]; used by the thread of the replica only. */
    private val listedItems = HashSet<RequestIdentifier>()

    private val textsByItem = ConcurrentHashMap<RequestIdentifier, RecordedText>()

    /** True once the trainer has ended the job. */
    @Volatile
    public var isEnded: Boolean = false
        private set

    /** Bytes of the results as they are kept. */
    public val resultBytes: Long get() = commands().sumOf { it.size.toLong() }

    /** Bytes of the bodies of all items. */
    public val bodyBytes: Long by lazy { job.items.sumOf { it.body.size.toLong() } }

    /** Bytes of the recorded texts of items without a result. */
    public val textBytes: Long get() = textsByItem.values.sumOf { it.bytes }

    /** Results by position. */
    public val results: List<ListedResult> get() = listed

    /** Items without a result. */
    public fun openItems(): List<BatchItem> {
        val done = results.mapTo(HashSet()) { it.item }
        return job.items.filter { it.identifier !in done }
    }

    /** Returns the item with [identifier], or null. */
    public fun item(identifier: RequestIdentifier): BatchItem? = itemsByIdentifier[identifier]

    /** Returns the text of the item without a result that is recorded, or null. */
    public fun text(identifier: RequestIdentifier): RecordedText? = textsByItem[identifier]

    /** Adds [part] to the text of its item, if the item has no result and the part follows what is recorded. */
    internal fun add(part: TextPart) {
        if (part.item !in itemsByIdentifier || part.item in listedItems) return
        val longer = if (part.after == null) RecordedText(listOf(part)) else textsByItem[part.item]?.plus(part)
        if (longer != null) textsByItem[part.item] = longer
    }

    /** All parts of the texts that are recorded. */
    internal fun textParts(): List<TextPart> = textsByItem.values.flatMap { it.parts }

    /** Lists the [results] of [command], which keeps their outputs. */
    internal fun list(results: List<ItemResult>, command: ByteArray) {
        val fresh = results.withIndex()
            .filter { (_, result) -> result.item in itemsByIdentifier && listedItems.add(result.item) }
            .map { (position, result) -> ListedResult(result, command, position) }
        if (fresh.isNotEmpty()) listed = listed + fresh
        fresh.forEach { textsByItem.remove(it.item) }
    }

    /** The commands that listed the results, in order, each once. */
    internal fun commands(): List<ByteArray> = buildList {
        for (result in results) if (lastOrNull() !== result.command) add(result.command)
    }

    internal fun end() {
        isEnded = true
    }
}

/** A replica that is to give up its place. */
@Serializable
public data class Retirement(
    public val node: String,
    public val instance: InstanceName,
)

/**
 * A [JobRecord] in the form of a snapshot.
 *
 * @property commands the commands that listed its results.
 * @property textParts texts of items without a result.
 */
@Serializable
internal class JobSnapshot(
    val job: BatchJob,
    val submittedMilliseconds: Long,
    val isEnded: Boolean,
    val commands: List<ListingCommand>,
    val textParts: List<TextPart> = emptyList(),
) {
    fun restore(): JobRecord {
        val record = JobRecord(job, submittedMilliseconds)
        for (listing in commands) {
            val command = StateCodec.decode<ServiceCommand>(listing.command)
            record.list((command as ServiceCommand.RecordResults).results, listing.command)
        }
        textParts.forEach(record::add)
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
        )
    }
}

/** An encoded [ServiceCommand.RecordResults]. */
@Serializable
internal class ListingCommand(@ByteString val command: ByteArray)

/** The whole state in the form of a snapshot. */
@Serializable
internal class ServiceSnapshot(
    val configuration: StoredConfiguration?,
    val versions: Map<ModelName, WeightVersion>,
    val jobs: List<JobSnapshot>,
    val retirements: List<Retirement>,
)
