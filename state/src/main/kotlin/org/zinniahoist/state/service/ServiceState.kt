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
@Serializable
public class JobRecord(
    public val job: BatchJob,
    public val submittedMilliseconds: Long,
) {
    @Volatile
    private var listed: List<ItemResult> = emptyList()

    /** The first item with each identifier. */
    private val itemsByIdentifier by lazy { job.items.asReversed().associateBy { it.identifier } }

    /** Items of [listed]; used by the thread of the replica only. */
    private val listedItems by lazy { listed.mapTo(HashSet()) { it.item } }

    /** True once the trainer has ended the job. */
    @Volatile
    public var isEnded: Boolean = false
        private set

    /** Bytes of the results. */
    public val resultBytes: Long get() = results.sumOf { it.output.length.toLong() }

    /** Bytes of the bodies of all items. */
    public val bodyBytes: Long by lazy { job.items.sumOf { it.body.size.toLong() } }

    /** Results by position. */
    public val results: List<ItemResult> get() = listed

    /** Items without a result. */
    public fun openItems(): List<BatchItem> {
        val done = results.mapTo(HashSet()) { it.item }
        return job.items.filter { it.identifier !in done }
    }

    /** Returns the item with [identifier], or null. */
    public fun item(identifier: RequestIdentifier): BatchItem? = itemsByIdentifier[identifier]

    internal fun list(results: List<ItemResult>) {
        val fresh = results.filter { it.item in itemsByIdentifier && listedItems.add(it.item) }
        if (fresh.isNotEmpty()) listed = listed + fresh
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

/** The whole state in the form of a snapshot. */
@Serializable
internal class ServiceSnapshot(
    val configuration: StoredConfiguration?,
    val versions: Map<ModelName, WeightVersion>,
    val jobs: List<JobRecord>,
    val retirements: List<Retirement>,
)
