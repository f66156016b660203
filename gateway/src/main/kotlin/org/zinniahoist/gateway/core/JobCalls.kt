package org.zinniahoist.gateway.core

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
import org.zinniahoist.state.service.JobIdentifier
import org.zinniahoist.state.service.JobRecord
import org.zinniahoist.state.service.PackedResults
import org.zinniahoist.state.service.ServiceAnswer
import org.zinniahoist.state.service.ServiceCommand
import org.zinniahoist.state.service.ServiceStateMachine
import org.zinniahoist.wire.ServiceCall
import org.zinniahoist.wire.ServiceReply
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds

/** Answers the calls of other processes from the replicated state. */
internal class JobCalls(
    private val dialect: PlatformDialect,
    private val machine: ServiceStateMachine,
    private val host: () -> GroupHost,
) {
    private val pages = ResultPages(dialect)
    private val waiters = ConcurrentHashMap<JobIdentifier, CompletableDeferred<Unit>>()

    /** Wakes the readers of a job that changed. */
    fun onChanged(record: JobRecord) {
        waiters.remove(record.job.identifier)?.complete(Unit)
    }

    /** Answers [call], and does nothing for it if [recipient] doesn't wait any more. */
    suspend fun answer(call: ServiceCall, recipient: AnswerRecipient = AnswerRecipient.Local): ServiceReply =
        if (recipient.isWaiting) carryOut(call, recipient) else GIVEN_UP

    private suspend fun carryOut(call: ServiceCall, recipient: AnswerRecipient): ServiceReply = when (call) {
        is ServiceCall.AppliedConfiguration -> applied(call)
        is ServiceCall.NewestConfiguration -> confirmed { document() ?: ServiceReply.NotFound }
        is ServiceCall.SubmitJob -> submit(call)
        is ServiceCall.ReadJob -> readJob(call, recipient)
        is ServiceCall.ReadItem -> confirmed { readItem(call) }
        is ServiceCall.EndJob -> propose(ServiceCommand.EndJob(JobIdentifier(call.job)))
    }

    private fun applied(call: ServiceCall.AppliedConfiguration): ServiceReply =
        document()?.takeIf { it.revision > call.known } ?: ServiceReply.Done

    private fun document(): ServiceReply.Document? =
        machine.configuration?.let { ServiceReply.Document(it.revision, it.document) }

    private suspend fun submit(call: ServiceCall.SubmitJob): ServiceReply {
        if (machine.job(JobIdentifier(call.job)) != null) return confirmed { ServiceReply.Done }
        if (!host().status.isLeader) return ServiceReply.NotLeader(host().status.leader)
        return dialect.job(call.job, call.host, call.path, call.body).fold(
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

    private suspend fun readJob(call: ServiceCall.ReadJob, recipient: AnswerRecipient): ServiceReply {
        var found: JobRecord? = null
        val reply = confirmed {
            found = machine.job(JobIdentifier(call.job))
            if (found == null) ServiceReply.NotFound else ServiceReply.Done
        }
        val record = found ?: return reply
        if (call.after > record.job.items.size) return ServiceReply.Invalid("position ${call.after} is past the end")
        awaitResult(record, call)
        if (!recipient.isWaiting) return GIVEN_UP
        if (!recipient.awaitRoom()) return ServiceReply.Unavailable("too many results wait for their readers")
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

    /** An entry makes the page itself from what the log holds, as there are many entries and one leader. */
    private fun page(record: JobRecord, call: ServiceCall.ReadJob): ServiceReply {
        val total = record.job.items.size
        val results = record.results.drop(call.after)
        if (!call.acceptsPacked) {
            return ServiceReply.Content(pages.page(total, call.after, results.asSequence().map { it.whole() }))
        }
        val packed = PackedResults.of(results, PACKED_PAGE_BYTES)
        return ServiceReply.Results(total, call.after, StateCodec.encode(packed))
    }

    private fun readItem(call: ServiceCall.ReadItem): ServiceReply {
        val item = machine.job(JobIdentifier(call.job))?.item(RequestIdentifier(call.item))
        return item?.let { ServiceReply.Content(it.body) } ?: ServiceReply.NotFound
    }

    /** Answers from a state that holds all that was acknowledged before. */
    private suspend fun confirmed(answer: () -> ServiceReply): ServiceReply {
        val term = host().status.term
        return host().query(NOTHING).await().fold(::refusal) {
            val reply = answer()
            if (reply is ServiceReply.NotFound) absent(term) else reply
        }
    }

    /** After a failure of the disk the state is emptied and read anew; a leader of the same [term] has not failed. */
    private fun absent(term: Long): ServiceReply {
        val status = host().status
        val isComplete = status.isLeader && status.term == term
        return if (isComplete) ServiceReply.NotFound else ServiceReply.Unavailable("the state is being read")
    }

    /** Proposes [command]; the reply says whether it holds. */
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
        val NOTHING = ByteArray(0)
        val GIVEN_UP = ServiceReply.Unavailable("the caller has given up")

        /** Results that hardly shrink fill some 700 kB of a page from these; of others an entry uses the first. */
        const val PACKED_PAGE_BYTES = 256 shl 10
    }
}
