package org.zinniahoist.gateway.core

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.future.await
import kotlinx.coroutines.withTimeoutOrNull
import org.zinniahoist.consensus.GroupFailure
import org.zinniahoist.consensus.GroupHost
import org.zinniahoist.gateway.dialect.PlatformDialect
import org.zinniahoist.gateway.dialect.ResultPages
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.state.StateCodec
import org.zinniahoist.state.service.BatchJob
import org.zinniahoist.state.service.JobIdentifier
import org.zinniahoist.state.service.JobRecord
import org.zinniahoist.state.service.JobRules
import org.zinniahoist.state.service.PackedResults
import org.zinniahoist.state.service.ServiceAnswer
import org.zinniahoist.state.service.ServiceCommand
import org.zinniahoist.state.service.ServiceStateMachine
import org.zinniahoist.wire.JobAccess
import org.zinniahoist.wire.ServiceCall
import org.zinniahoist.wire.ServiceReply
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds

/**
 * Serves calls of other processes from the replicated state, and proposes the commands that they request.
 *
 * @param restoreCrashes called before a starting process gets the configuration with which it begins to serve.
 */
internal class JobCallHandler(
    private val dialect: PlatformDialect,
    private val machine: ServiceStateMachine,
    private val usage: UsageReceiver = UsageReceiver(machine.usage),
    private val restoreCrashes: () -> Unit = {},
    private val host: () -> GroupHost,
) {
    private val pages = ResultPages(dialect)

    /** Lower-case names of the fields that say on whose behalf a request is sent. */
    private val callerFields = setOf("authorization", dialect.headers.workspace.lowercase())
    private val waiters = ConcurrentHashMap<JobIdentifier, CompletableDeferred<Unit>>()

    /** Resumes the long polls that wait for a change of this job. */
    fun onChanged(record: JobRecord) {
        waiters.remove(record.job.identifier)?.complete(Unit)
    }

    /** Returns the reply to [call]; skips the work if [recipient] no longer waits for it. */
    suspend fun answer(call: ServiceCall, recipient: ReplyRecipient = ReplyRecipient.Local): ServiceReply =
        if (recipient.isWaiting) execute(call, recipient) else CALLER_GONE

    private suspend fun execute(call: ServiceCall, recipient: ReplyRecipient): ServiceReply = when (call) {
        is ServiceCall.AppliedConfiguration -> applied(call)
        is ServiceCall.NewestConfiguration -> replyAfterRead(::newestDocument)
        is ServiceCall.SubmitJob -> submit(call)
        is ServiceCall.ReadJob -> readJob(call, recipient)
        is ServiceCall.ReadItem -> replyAfterRead { readItem(call) }
        is ServiceCall.EndJob -> endJob(call)
        is ServiceCall.ReportUsage -> usage.receive(call, host().status)
    }

    private fun applied(call: ServiceCall.AppliedConfiguration): ServiceReply =
        document()?.takeIf { it.revision > call.known } ?: ServiceReply.Done

    private fun newestDocument(): ServiceReply.Document? {
        restoreCrashes()
        return document()
    }

    private fun document(): ServiceReply.Document? =
        machine.configuration?.let { ServiceReply.Document(it.revision, it.document) }

    private suspend fun submit(call: ServiceCall.SubmitJob): ServiceReply {
        val known = { machine.job(JobIdentifier(call.job)) }
        if (known() != null) {
            readLinearizable(known).getOrElse { return it }?.let { return denial(it, call.access) ?: ServiceReply.Done }
        }
        if (!host().status.isLeader) return ServiceReply.NotLeader(host().status.leader)
        return decode(call).fold(
            { fault ->
                logger.info { "event=job-refused job=${call.job} fault=\"$fault\"" }
                ServiceReply.Invalid(fault)
            },
            { job ->
                val reply = propose(ServiceCommand.SubmitJob(job))
                logger.info { "event=job-submitted job=${call.job} items=${job.items.size} reply=${nameOf(reply)}" }
                reply
            },
        )
    }

    private fun decode(call: ServiceCall.SubmitJob): Either<String, BatchJob> =
        dialect.job(call.job, call.host, call.path, call.body).flatMap { job ->
            val fault = JobRules.faultOf(job)
            if (fault == null) ownedBy(call.access, job).right() else fault.toString().left()
        }

    /** Returns [job] for the caller with [access], without the fields by which its items would claim another caller. */
    private fun ownedBy(access: JobAccess, job: BatchJob): BatchJob = when (access) {
        is JobAccess.Unrestricted -> job
        is JobAccess.Anonymous -> withoutCallerFields(job)
        is JobAccess.Member -> withoutCallerFields(job).copy(workspace = access.workspace)
    }

    private fun withoutCallerFields(job: BatchJob): BatchJob = job.copy(
        items = job.items.map { item ->
            item.withHeaders(item.headers.filterNot { it.name.lowercase() in callerFields })
        },
    )

    private suspend fun accessibleJob(job: JobIdentifier, access: JobAccess): Either<ServiceReply, JobRecord> =
        readLinearizable { machine.job(job) }.flatMap { record ->
            if (record == null) ServiceReply.NotFound.left() else denial(record, access)?.left() ?: record.right()
        }

    /** Returns the reply to a caller whose [access] does not include the job of [record], or null if it does. */
    private fun denial(record: JobRecord, access: JobAccess): ServiceReply? {
        val workspace = record.job.workspace ?: return null
        return when (access) {
            is JobAccess.Unrestricted -> null
            is JobAccess.Anonymous -> ServiceReply.Unauthorized
            is JobAccess.Member -> if (access.workspace == workspace) null else ServiceReply.NotFound
        }
    }

    private suspend fun readJob(call: ServiceCall.ReadJob, recipient: ReplyRecipient): ServiceReply {
        val record = accessibleJob(JobIdentifier(call.job), call.access).getOrElse { return it }
        if (call.after > record.job.items.size) return ServiceReply.Invalid("position ${call.after} is past the end")
        awaitResult(record, call)
        if (!recipient.isWaiting) return CALLER_GONE
        if (!recipient.awaitCapacity()) return ServiceReply.Unavailable("too many results wait for their readers")
        return page(record, call)
    }

    private suspend fun awaitResult(record: JobRecord, call: ServiceCall.ReadJob) {
        if (call.waitMilliseconds <= 0) return
        withTimeoutOrNull(call.waitMilliseconds.milliseconds) {
            while (record.results.size <= call.after && !record.isEnded) {
                val waiter = waiters.computeIfAbsent(record.job.identifier) { CompletableDeferred() }
                if (record.results.size <= call.after && !record.isEnded) waiter.await()
            }
        }
    }

    /** Sends packed results if the caller accepts them: building pages on the many entries offloads the one leader. */
    private fun page(record: JobRecord, call: ServiceCall.ReadJob): ServiceReply {
        val total = record.job.items.size
        val results = record.results.drop(call.after)
        if (!call.acceptsPacked) {
            return ServiceReply.Content(pages.page(total, call.after, results.asSequence().map { it.whole() }))
        }
        val packed = PackedResults.of(results, PACKED_PAGE_BYTES)
        return ServiceReply.Results(total, call.after, StateCodec.encode(packed))
    }

    private fun readItem(call: ServiceCall.ReadItem): ServiceReply? {
        val record = machine.job(JobIdentifier(call.job)) ?: return null
        return denial(record, call.access)
            ?: record.item(RequestIdentifier(call.item))?.let { ServiceReply.Content(it.body) }
    }

    private suspend fun endJob(call: ServiceCall.EndJob): ServiceReply {
        val job = JobIdentifier(call.job)
        if (call.access !is JobAccess.Unrestricted) {
            accessibleJob(job, call.access).getOrElse { return it }
        }
        return propose(ServiceCommand.EndJob(job))
    }

    private suspend fun replyAfterRead(read: () -> ServiceReply?): ServiceReply =
        readLinearizable(read).fold({ it }) { it ?: ServiceReply.NotFound }

    /**
     * Performs a linearizable read: calls [read] after all previously acknowledged commands are applied, and returns
     * its result or the reason for a refusal.
     *
     * A disk failure resets the state and the log is replayed, so that [read] may observe an earlier state. A replica
     * that still leads in the same term after [read] has not failed in between.
     */
    suspend fun <T> readLinearizable(read: () -> T): Either<ServiceReply, T> {
        val term = host().status.term
        return host().query(EMPTY_QUERY).await().mapLeft(::refusal).flatMap {
            val result = read()
            val status = host().status
            val isComplete = status.isLeader && status.term == term
            if (isComplete) result.right() else ServiceReply.Unavailable("the state is being read").left()
        }
    }

    /** Proposes [command] and returns its outcome: `Done` once it is committed and applied. */
    suspend fun propose(command: ServiceCommand): ServiceReply =
        host().propose(StateCodec.encode<ServiceCommand>(command)).await().fold(::refusal) { bytes ->
            when (StateCodec.decode<ServiceAnswer>(bytes)) {
                is ServiceAnswer.UnknownJob -> ServiceReply.NotFound
                else -> ServiceReply.Done
            }
        }

    private fun refusal(failure: GroupFailure): ServiceReply = when (failure) {
        is GroupFailure.NotLeader -> ServiceReply.NotLeader(failure.hint)
        is GroupFailure.Unavailable -> ServiceReply.Unavailable(failure.reason)
        is GroupFailure.OutcomeUnknown -> ServiceReply.OutcomeUnknown(failure.reason)
    }

    private fun nameOf(reply: ServiceReply): String = reply::class.simpleName.orEmpty()

    private companion object {
        val logger = KotlinLogging.logger {}
        val EMPTY_QUERY = ByteArray(0)
        val CALLER_GONE = ServiceReply.Unavailable("the caller has given up")

        /**
         * Limit of packed results in one reply, in bytes. Results that compress poorly expand to a page of about
         * 700 kB; if results compress better, the entry uses only the first ones.
         */
        const val PACKED_PAGE_BYTES = 256 shl 10
    }
}
