package org.zinniahoist.consensus

import arrow.core.left
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import org.zinniahoist.consensus.ReplicaMessageContent.TakeOver
import org.zinniahoist.model.Moment
import java.io.IOException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/** Reason for the end of a [ReplicaWorker]. */
internal sealed interface WorkerResult {
    /** The worker was closed. */
    data object Closed : WorkerResult

    /** The disk failed or a command can't be applied; the state of unsynced writes is unknown. */
    data class Failed(val cause: String) : WorkerResult

    /** An [Error] of the JVM, after which the process can't be trusted. */
    data class Fatal(val cause: String) : WorkerResult
}

/**
 * Runs one replica from the opening of its folder until its first failure. Events that arrive during a sync are
 * processed as one batch with one sync.
 *
 * [run] is called once; all other functions are thread-safe.
 */
internal class ReplicaWorker(
    private val dependencies: ReplicaDependencies,
    opened: GroupStorage.OpenedStorage,
) {
    private val name = dependencies.name
    private val stateMachine = dependencies.stateMachine
    private val clock = dependencies.clock
    private val storage = opened.storage

    /** Null after the end, so that this log can be freed before the reopened one is read into memory. */
    private var replica: Replica? =
        Replica(dependencies.instance, dependencies.options, opened.recovered, dependencies.random, clock.now())
    private val queue = LinkedBlockingQueue<ReplicaEvent>()
    private val queuedMessageBytes = AtomicLong()
    private val requests = ConcurrentHashMap<Long, Request>()
    private val nextRequest = AtomicLong(1)
    private val unsynced = ArrayList<ReplicaAction.Persist>()
    private var lastAppliedTime = opened.recovered.snapshot?.timeMilliseconds ?: 0

    @Volatile
    private var stopped = false

    @Volatile
    private var finished = false

    /** Time at which the last batch of events was processed. It doesn't advance while a sync hangs. */
    @Volatile
    private var lastBatchAt = clock.now()

    @Volatile
    private var latestStatus: GroupStatus = currentStatus(failure = null)

    /** Queued events. */
    val waiting: QueuedEvents get() = QueuedEvents(queue.size, queuedMessageBytes.get())

    /**
     * Returns the status at [now]. A replica that has processed no events for longer than the election timeout is
     * reported as neither leading nor caught up.
     */
    fun status(now: Moment): GroupStatus {
        val status = latestStatus
        val isStalled = now - lastBatchAt > dependencies.options.electionTimeout
        if (!isStalled) return status
        return status.copy(isLeader = false, leader = status.leader.takeIf { !status.isLeader }, isCaughtUp = false)
    }

    /** Queues [event], or discards it if the replica has stopped. */
    fun post(event: ReplicaEvent) {
        if (!stopped) queue += event
    }

    /** Queues [message] of another replica, or discards it if the replica has stopped. */
    fun receive(message: ReplicaMessage) {
        if (stopped) return
        queuedMessageBytes.addAndGet(message.payloadBytes)
        queue += ReplicaEvent.Receive(message)
    }

    /** Queues the [event] of a request. [query] is null unless the request is a read. */
    fun request(query: ByteArray?, event: (Long) -> ReplicaEvent): CompletableFuture<GroupAnswer> {
        val number = nextRequest.getAndIncrement()
        val request = Request(query)
        requests[number] = request
        queue += event(number)
        // The stopping worker fails the requests it finds; this one may have been added afterwards.
        if (finished) requests.remove(number)?.fail(UNAVAILABLE)
        return request.future
    }

    /** Signals [run] to return. */
    fun close() {
        stopped = true
    }

    /** Processes events until the replica fails or is closed, and then fails its pending requests. */
    fun run(): WorkerResult {
        var result: WorkerResult = WorkerResult.Closed
        try {
            result = processEvents()
        } catch (failure: Exception) {
            logger.error(failure) { "event=replica_failed group=$name" }
            result = WorkerResult.Failed(failure.toString())
        } catch (failure: Error) {
            logger.error(failure) { "event=replica_failed group=$name" }
            result = WorkerResult.Fatal(failure.toString())
        } finally {
            finish(result)
        }
        return result
    }

    private fun finish(result: WorkerResult) {
        if (result is WorkerResult.Failed) transferLeadership()
        stopped = true
        latestStatus = currentStatus(failureOf(result))
        replica = null
        finished = true
        queue.clear()
        requests.keys.forEach { number ->
            requests.remove(number)?.let { it.fail(if (it.query == null) OUTCOME_UNKNOWN else UNAVAILABLE) }
        }
        try {
            storage.close()
        } catch (fault: IOException) {
            logger.warn { "event=folder-not-closed group=$name cause=\"$fault\"" }
        }
    }

    private fun failureOf(result: WorkerResult): String? = when (result) {
        is WorkerResult.Closed -> null
        is WorkerResult.Failed -> result.cause
        is WorkerResult.Fatal -> result.cause
    }

    /**
     * Transfers the leadership after a failure. The message doesn't depend on durable state, so it is sent even though
     * the disk has failed.
     */
    private fun transferLeadership() {
        val currentLeader = replica?.takeIf { it.isLeader } ?: return
        try {
            currentLeader.step(clock.now(), listOf(ReplicaEvent.TransferLeadership))
                .filterIsInstance<ReplicaAction.Send>()
                .filter { it.message.content is TakeOver }
                .forEach { dependencies.transport.send(it.instance, it.message) }
        } catch (fault: Exception) {
            logger.warn { "event=not-handed-over group=$name cause=\"$fault\"" }
        }
    }

    private fun processEvents(): WorkerResult {
        var nextTick = clock.now()
        while (!stopped) {
            val events = ArrayList<ReplicaEvent>()
            queue.poll(pollTimeoutNanoseconds(nextTick), TimeUnit.NANOSECONDS)?.let { events += it }
            queue.drainTo(events, MAXIMUM_BATCH)
            val now = clock.now()
            if (now >= nextTick) {
                events += ReplicaEvent.Tick
                nextTick = now + dependencies.tickInterval
            }
            val failure = step(events)
            if (failure != null) {
                logger.error { "event=replica_stopped group=$name ${failure.message}" }
                return WorkerResult.Failed(failure.message)
            }
            queuedMessageBytes.addAndGet(-messageBytesOf(events))
            latestStatus = currentStatus(failure = null)
            lastBatchAt = clock.now()
        }
        return WorkerResult.Closed
    }

    private fun messageBytesOf(events: List<ReplicaEvent>): Long =
        events.sumOf { if (it is ReplicaEvent.Receive) it.message.payloadBytes else 0 }

    private fun pollTimeoutNanoseconds(nextTick: Moment): Long =
        if (activeReplica().hasUnapplied) 0 else (nextTick - clock.now()).inWholeNanoseconds.coerceAtLeast(0)

    /** Returns the error if the disk fails. No message or answer may be sent afterwards. */
    private fun step(events: List<ReplicaEvent>): StorageError? {
        var next = events
        do {
            val followUp = ArrayList<ReplicaEvent>()
            for (action in activeReplica().step(clock.now(), next)) execute(action, followUp)?.let { return it }
            sync(followUp)?.let { return it }
            next = followUp
        } while (next.isNotEmpty() && !stopped)
        return null
    }

    private fun execute(action: ReplicaAction, followUp: ArrayList<ReplicaEvent>): StorageError? {
        when (action) {
            is ReplicaAction.Send -> dependencies.transport.send(action.instance, action.message)
            is ReplicaAction.Persist -> unsynced += action
            is ReplicaAction.Apply -> apply(action)
            is ReplicaAction.AnswerRead -> answerRead(action.request)
            is ReplicaAction.FailRequest -> requests.remove(action.request)?.fail(action.failure)
            is ReplicaAction.RestoreStateMachine -> restore(action.snapshot)
            is ReplicaAction.TakeSnapshot -> return takeSnapshot(action, followUp)
            is ReplicaAction.BecameLeader -> logger.info { "event=became_leader group=$name term=${action.term}" }
            is ReplicaAction.BecameFollower -> logger.info { "event=became_follower group=$name term=${action.term}" }
        }
        return null
    }

    private fun apply(action: ReplicaAction.Apply) {
        val entry = action.entry
        lastAppliedTime = entry.timeMilliseconds
        val command = entry.command
        val answer = if (command == null) NO_BYTES else stateMachine.apply(entry.index, lastAppliedTime, command)
        action.request?.let { requests.remove(it)?.future?.complete(answer.right()) }
    }

    private fun answerRead(number: Long) {
        val request = requests.remove(number) ?: return
        request.future.complete(stateMachine.query(lastAppliedTime, request.query ?: NO_BYTES).right())
    }

    private fun restore(snapshot: Snapshot) {
        stateMachine.restore(snapshot.data)
        lastAppliedTime = snapshot.timeMilliseconds
    }

    private fun takeSnapshot(action: ReplicaAction.TakeSnapshot, followUp: ArrayList<ReplicaEvent>): StorageError? {
        sync(followUp)?.let { return it }
        val data = stateMachine.snapshot()
        val snapshot = Snapshot(action.index, action.term, action.timeMilliseconds, action.configuration, data)
        return storage.saveSnapshot(snapshot).fold({ it }) {
            followUp += ReplicaEvent.SnapshotSaved(snapshot)
            null
        }
    }

    private fun sync(followUp: ArrayList<ReplicaEvent>): StorageError? {
        if (unsynced.isEmpty()) return null
        val sequence = unsynced.last().sequence
        val failure = storage.write(unsynced).fold({ it }) {
            followUp += ReplicaEvent.Persisted(sequence)
            null
        }
        unsynced.clear()
        return failure
    }

    private fun activeReplica(): Replica = checkNotNull(replica) { "replica has stopped" }

    private fun currentStatus(failure: String?): GroupStatus {
        val replica = activeReplica()
        return GroupStatus(
            address = replica.address,
            isLeader = failure == null && replica.isLeader,
            leader = if (failure == null) replica.leaderHint else null,
            term = replica.term,
            commitIndex = replica.commitIndex,
            lastIndex = replica.lastIndex,
            configuration = replica.configuration,
            isConfigurationCommitted = replica.isConfigurationCommitted,
            committed = replica.committedConfiguration,
            isCaughtUp = failure == null && replica.isCaughtUp,
            failure = failure,
            log = replica.logSize,
        )
    }

    private class Request(val query: ByteArray?) {
        val future = CompletableFuture<GroupAnswer>()

        fun fail(failure: GroupFailure) {
            future.complete(failure.left())
        }
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        val NO_BYTES = ByteArray(0)
        val UNAVAILABLE = GroupFailure.Unavailable("the replica is stopped")
        val OUTCOME_UNKNOWN = GroupFailure.OutcomeUnknown("the replica stopped before the command was committed")

        /** Limits the events of one batch, which bounds the time between two ticks under load. */
        const val MAXIMUM_BATCH = 4_096
    }
}
