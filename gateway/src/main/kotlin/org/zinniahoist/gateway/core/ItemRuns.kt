package org.zinniahoist.gateway.core

import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.RequestHeaders
import io.github.oshai.kotlinlogging.KotlinLogging
import org.zinniahoist.gateway.dialect.HeaderNames
import org.zinniahoist.gateway.upstream.ForwardedFields
import org.zinniahoist.gateway.upstream.ItemRun
import org.zinniahoist.gateway.upstream.RequestBody
import org.zinniahoist.gateway.upstream.ResponseLimits
import org.zinniahoist.gateway.upstream.RunObserver
import org.zinniahoist.gateway.upstream.UpstreamCalls
import org.zinniahoist.policy.dispatch.DispatchAction
import org.zinniahoist.policy.dispatch.ItemKey
import org.zinniahoist.policy.dispatch.RunEnd
import org.zinniahoist.state.service.BatchItem
import org.zinniahoist.state.service.BatchJob
import org.zinniahoist.state.service.JobIdentifier
import org.zinniahoist.state.service.ServiceStateMachine

/** Opens and closes the upstream connections on which items run. All functions run on the engine thread. */
internal interface RunConnections {
    /** Sends the item of [action] to its upstream; notifies [observer] of the response, or that nothing was sent. */
    fun start(action: DispatchAction.Start, observer: RunObserver)

    /** Closes the connection of [run] if it is still open. [reason] is logged. */
    fun abort(run: Long, reason: String)

    /** Removes [run], whose response has ended. */
    fun forget(run: Long)

    /** Calls [action] once all bytes that arrived before this call have been delivered to the observers. */
    fun whenRead(action: () -> Unit)
}

/** Runs items over HTTP connections to the upstreams. */
internal class ItemRuns(
    private val headerNames: HeaderNames,
    private val calls: UpstreamCalls,
    private val machine: ServiceStateMachine,
) : RunConnections {
    private val runs = HashMap<Long, ItemRun>()

    /** Fields that only this process may set in the request of an item. */
    private val ownFields =
        setOf(headerNames.requestIdentifier, headerNames.expectedUpstream, headerNames.lastEvent)
            .mapTo(HashSet()) { it.lowercase() }

    /** Items whose request could not be sent; each is logged once. */
    private val reportedItems = LinkedHashSet<ItemKey>()

    override fun start(action: DispatchAction.Start, observer: RunObserver) {
        val run = try {
            send(action, observer)
        } catch (fault: Exception) {
            reportUnsent(action, fault.toString())
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
            reportUnsent(action, "the job is not in the replicated state")
            return null
        }
        val identifier = item.identifier.value
        val limits = ResponseLimits.item(item.tokens)
        val headers = headers(record.job, item, action)
        val endpoint = action.upstream.endpoint
        val response = calls.open(
            endpoint,
            headers,
            RequestBody.of(item.body),
            limits,
            identifier,
            onSent = observer::onSent,
        )
        return ItemRun(headerNames, identifier, observer, limits, response)
    }

    private fun reportUnsent(action: DispatchAction.Start, cause: String) {
        if (!reportedItems.add(action.key)) return
        if (reportedItems.size > MAXIMUM_REPORTED_ITEMS) reportedItems.remove(reportedItems.first())
        logger.warn { "event=run-not-sent item=${action.key.item} job=${action.key.job} cause=\"$cause\"" }
    }

    private fun headers(job: BatchJob, item: BatchItem, action: DispatchAction.Start): RequestHeaders {
        val fields = item.headers.map { it.name to bytesOf(it.value) }
        val builder = ForwardedFields.request(HttpMethod.POST, item.path, job.host, fields, ownFields)
        builder.set(headerNames.requestIdentifier, item.identifier.value)
        builder.set(headerNames.expectedUpstream, action.upstream.identity.value)
        job.workspace?.let { builder.set(headerNames.workspace, it.value) }
        action.afterEvent?.let { builder.set(headerNames.lastEvent, it.toString()) }
        return builder.build()
    }

    /** Returns [text] with a character for each of its bytes in UTF-8. */
    private fun bytesOf(text: String): String = String(text.toByteArray(Charsets.UTF_8), Charsets.ISO_8859_1)

    private companion object {
        val logger = KotlinLogging.logger {}
        const val MAXIMUM_REPORTED_ITEMS = 1_000
    }
}
