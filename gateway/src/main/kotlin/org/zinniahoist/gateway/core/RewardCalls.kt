package org.zinniahoist.gateway.core

import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.ResponseHeaders
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import org.zinniahoist.gateway.dialect.HeaderNames
import org.zinniahoist.gateway.upstream.CrashGuard
import org.zinniahoist.gateway.upstream.ForwardedFields
import org.zinniahoist.gateway.upstream.PermissiveCrashGuard
import org.zinniahoist.gateway.upstream.RequestBody
import org.zinniahoist.gateway.upstream.RequestContent
import org.zinniahoist.gateway.upstream.ResponseLimits
import org.zinniahoist.gateway.upstream.RunStatement
import org.zinniahoist.gateway.upstream.UpstreamCalls
import org.zinniahoist.gateway.upstream.onFailure
import org.zinniahoist.gateway.upstream.readWhole
import org.zinniahoist.gateway.upstream.runStatement
import org.zinniahoist.policy.reward.RewardAction
import org.zinniahoist.policy.reward.RewardCallEnd
import org.zinniahoist.state.service.JobIdentifier
import org.zinniahoist.state.service.RewardRequest
import org.zinniahoist.state.service.ServiceStateMachine
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Sends reward calls to upstreams. */
internal interface RewardConnections {
    /** Sends the reward request of [action]; calls [onEnd] with the outcome, on any thread, unless it is aborted. */
    fun start(action: RewardAction.Call, onEnd: (RewardCallEnd) -> Unit)

    /** Closes the connection of [call] if it is still open. */
    fun abort(call: Long)
}

/** Sends reward calls over HTTP. */
internal class RewardCalls(
    private val names: HeaderNames,
    private val calls: UpstreamCalls,
    private val machine: ServiceStateMachine,
    private val scope: CoroutineScope,
    private val crashes: CrashGuard = PermissiveCrashGuard,
) : RewardConnections {
    private val jobs = ConcurrentHashMap<Long, Job>()

    override fun start(action: RewardAction.Call, onEnd: (RewardCallEnd) -> Unit) {
        val request = machine.job(JobIdentifier(action.key.job))?.item(action.key.item)?.reward
        if (request == null) {
            onEnd(RewardCallEnd.NotSent)
            return
        }
        val content = RequestContent(HttpMethod.POST.name, request.host, request.path, RequestBody.of(request.body))
        if (crashes.refusalReason(content) != null) {
            onEnd(RewardCallEnd.Blocked)
            return
        }
        val job = scope.launch(start = CoroutineStart.LAZY) {
            val end = call(action, request, content)
            if (jobs.remove(action.call) != null) onEnd(end)
        }
        jobs[action.call] = job
        job.start()
    }

    override fun abort(call: Long) {
        jobs.remove(call)?.cancel()
    }

    private suspend fun call(
        action: RewardAction.Call,
        request: RewardRequest,
        content: RequestContent,
    ): RewardCallEnd = try {
        val identifier = request.identifier.value
        val response = calls.open(
            action.upstream.endpoint,
            headers(action, request),
            RequestBody.of(request.body),
            ResponseLimits.CALL,
            identifier,
            action.timeout,
        )
        val end = endOf(readWhole(response, names.requestIdentifier, identifier).headers)
        if (end is RewardCallEnd.Scored || end is RewardCallEnd.Failed) crashes.onAnswered(content)
        end
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (failure: Exception) {
        val cause = UpstreamCalls.rootOf(failure)
        crashes.onFailure(content, action.upstream, failure)
        if (UpstreamCalls.isUnsent(failure)) RewardCallEnd.Lost("not sent: $cause") else RewardCallEnd.Lost("$cause")
    }

    private fun headers(action: RewardAction.Call, request: RewardRequest): RequestHeaders =
        ForwardedFields.request(HttpMethod.POST, request.path, request.host)
            .set(names.requestIdentifier, request.identifier.value)
            .set(names.expectedUpstream, action.upstream.identity.value)
            .set(names.remainingMilliseconds, action.timeout.inWholeMilliseconds.toString())
            .build()

    private fun endOf(headers: ResponseHeaders): RewardCallEnd {
        val status = headers.status().code()
        val statement = names.runStatement(headers)
        val stamp = headers.get(names.answerStamp)
        return when {
            isSuccess(headers) && stamp != null -> RewardCallEnd.Scored(stamp)
            isSuccess(headers) -> RewardCallEnd.Lost("stamp missing")
            statement == RunStatement.MISDIRECTED -> RewardCallEnd.Misdirected
            statement == RunStatement.NOT_RUN || status in REFUSALS -> RewardCallEnd.Refused(retryAfter(headers))
            status == INTERNAL_SERVER_ERROR -> RewardCallEnd.Failed
            else -> RewardCallEnd.Lost("status $status")
        }
    }

    private fun isSuccess(headers: ResponseHeaders): Boolean =
        headers.status().isSuccess && !headers.contains(names.notRun)

    private fun retryAfter(headers: ResponseHeaders): Duration? {
        val stated = headers.get(HttpHeaderNames.RETRY_AFTER)?.trim()?.toDoubleOrNull()
        return stated?.takeIf { it.isFinite() && it >= 0 }?.seconds
    }

    private companion object {
        const val INTERNAL_SERVER_ERROR = 500

        /** Statuses with which an upstream that is full or stopping refuses a call. */
        val REFUSALS = setOf(429, 503)
    }
}
