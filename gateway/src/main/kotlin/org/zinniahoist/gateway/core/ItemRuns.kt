package org.zinniahoist.gateway.core

import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.RequestHeaders
import io.github.oshai.kotlinlogging.KotlinLogging
import org.zinniahoist.gateway.dialect.HeaderNames
import org.zinniahoist.gateway.upstream.AnswerLimits
import org.zinniahoist.gateway.upstream.ItemRun
import org.zinniahoist.gateway.upstream.RunObserver
import org.zinniahoist.gateway.upstream.UpstreamCalls
import org.zinniahoist.policy.dispatch.DispatchAction
import org.zinniahoist.policy.dispatch.ItemKey
import org.zinniahoist.policy.dispatch.RunEnd
import org.zinniahoist.state.service.BatchItem
import org.zinniahoist.state.service.BatchJob
import org.zinniahoist.state.service.JobIdentifier
import org.zinniahoist.state.service.ServiceStateMachine

/** Runs items on upstreams. All functions run on the engine's thread. */
internal interface RunConnections {
    /** Sends the item of [action] to its upstream; [observer] is told of the answer, or that nothing was sent. */
    fun start(action: DispatchAction.Start, observer: RunObserver)

    /** Closes the connection of [run], if it is still open. */
    fun abort(run: Long, reason: String)

    /** The answer to [run] has ended. */
    fun forget(run: Long)

    /** Calls [action] once the observers were told of all bytes that arrived before this call. */
    fun whenRead(action: () -> Unit)
}

/** The connections on which items run now. */
internal class ItemRuns(
    private val names: HeaderNames,
    private val calls: UpstreamCalls,
    private val machine: ServiceStateMachine,
) : RunConnections {
    private val runs = HashMap<Long, ItemRun>()

    /** Items that could not be sent, each of which is reported once. */
    private val unsent = LinkedHashSet<ItemKey>()

    override fun start(action: DispatchAction.Start, observer: RunObserver) {
        val run = try {
            send(action, observer)
        } catch (fault: Exception) {
            onUnsent(action, fault.toString())
            null
        }
        if (run == null) {
            observer.onEnd(RunEnd.NotSent)
            return
        }
        runs[action.run] = run
        run.start()
    }

    override fun abort(run: Long, reason: String) {
        logger.info { "event=run-aborted run=$run reason=\"$reason\"" }
        runs.remove(run)?.abort()
    }

    override fun forget(run: Long) {
        runs.remove(run)
    }

    override fun whenRead(action: () -> Unit): Unit = calls.whenRead(action)

    private fun send(action: DispatchAction.Start, observer: RunObserver): ItemRun? {
        val record = machine.job(JobIdentifier(action.key.job))
        val item = record?.item(action.key.item)
        if (item == null) {
            onUnsent(action, "the job is not kept")
            return null
        }
        val identifier = item.identifier.value
        val limits = AnswerLimits.item(item.tokens)
        val headers = headers(record.job, item, action)
        val endpoint = action.upstream.endpoint
        val response = calls.open(endpoint, headers, item.body, limits, identifier, onSent = observer::onSent)
        return ItemRun(names, identifier, observer, limits, response)
    }

    private fun onUnsent(action: DispatchAction.Start, cause: String) {
        if (!unsent.add(action.key)) return
        if (unsent.size > REMEMBERED_UNSENT) unsent.remove(unsent.first())
        logger.warn { "event=run-not-sent item=${action.key.item} job=${action.key.job} cause=\"$cause\"" }
    }

    private fun headers(job: BatchJob, item: BatchItem, action: DispatchAction.Start): RequestHeaders {
        val builder = RequestHeaders.builder(HttpMethod.POST, item.path).authority(job.host)
        item.headers.forEach { builder.set(it.name, it.value) }
        builder.set(names.requestIdentifier, item.identifier.value)
        builder.set(names.expectedUpstream, action.upstream.identity.value)
        action.afterEvent?.let { builder.set(names.lastEvent, it.toString()) }
        return builder.build()
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val REMEMBERED_UNSENT = 1_000
    }
}
