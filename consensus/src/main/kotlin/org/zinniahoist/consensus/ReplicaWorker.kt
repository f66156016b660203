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

/** Why a [ReplicaWorker] has ended. */
internal sealed interface WorkerEnd {
    /** It was closed. */
    data object Closed : WorkerEnd

    /** The disk failed or a command can't be applied; nothing is known of what was not synced. */
    data class Failed(val cause: String) : WorkerEnd

    /** An error of the runtime, after which the process can't be relied on. */
    data class Fatal(val cause: String) : WorkerEnd
}

/**
 * One replica from the opening of its folder to its first failure. All events that arrive during one sync are handled
 * and synced together.
 *
 * [run] is called once; all other functions may be called from any thread.
 */
internal class ReplicaWorker(
    private val parts: ReplicaParts,
    opened: GroupStorage.OpenedStorage,
) {
    private val name = parts.name
    private val stateMachine = parts.stateMachine
    private val clock = parts.clock
    private val storage = opened.storage

    /** Null after the end: a log in memory must not be kept beside the one that is read next. */
    private var replica: Replica? =
        Replica(parts.instance, parts.options, opened.recovered, parts.random, clock.now())
    private val queue = LinkedBlockingQueue<ReplicaEvent>()
    private val waitingMessageBytes = AtomicLong()
    private val requests = ConcurrentHashMap<Long, Request>()
    private val nextRequest = AtomicLong(1)
    private val unsynced = ArrayList<ReplicaAction.Persist>()
    private var lastAppliedTime = opened.recovered.snapshot?.timeMilliseconds ?: 0

    @Volatile
    private var stopped = false

    @Volatile
    private var finished = false

    /** When the events of the last round were handled; a sync that hangs keeps it from advancing. */
    @Volatile
    private var handledAt = clock.now()

    @Volatile
    private var latest: GroupStatus = statusNow(failure = null)

    /** Events that wait to be handled. */
    val waiting: WaitingEvents get() = WaitingEvents(queue.size, waitingMessageBytes.get())

    /** State of the replica at [now]. One that has handled nothing for as long as an election takes leads no more. */
    fun status(now: Moment): GroupStatus {
        val status = latest
        val isHeld = now - handledAt > parts.options.electionTimeout
        return if (status.isLeader && isHeld) status.copy(isLeader = false, leader = null) else status
    }

    /** Hands over [event]; it is dropped if the replica has ended. */
    fun post(event: ReplicaEvent) {
        if (!stopped) queue += event
    }

    /** Hands over [message] of another replica; it is dropped if the replica has ended. */
    fun receive(message: ReplicaMessage) {
        if (stopped) return
        waitingMessageBytes.addAndGet(message.payloadBytes)
        queue += ReplicaEvent.Receive(message)
    }

    /** Hands over the event of a request; [query] is null for one that changes the state. */
    fun request(query: ByteArray?, event: (Long) -> ReplicaEvent): CompletableFuture<GroupAnswer> {
        val number = nextRequest.getAndIncrement()
        val request = Request(query)
        requests[number] = request
        queue += event(number)
        // The worker fails the requests that it sees when it stops; this one may have come later.
        if (finished) requests.remove(number)?.fail(UNAVAILABLE)
        return request.future
    }

    /** Ends [run] soon. */
    fun close() {
        stopped = true
    }

    /** Handles events until the replica fails or is closed. Requests without an answer fail then. */
    fun run(): WorkerEnd {
        var end: WorkerEnd = WorkerEnd.Closed
        try {
            end = handleEvents()
        } catch (failure: Exception) {
            logger.error(failure) { "event=replica_failed group=$name" }
            end = WorkerEnd.Failed(failure.toString())
        } catch (failure: Error) {
            logger.error(failure) { "event=replica_failed group=$name" }
            end = WorkerEnd.Fatal(failure.toString())
        } finally {
            finish(end)
        }
        return end
    }

    private fun finish(end: WorkerEnd) {
        if (end is WorkerEnd.Failed) handOver()
        stopped = true
        latest = statusNow(failureOf(end))
        replica = null
        finished = true
        queue.clear()
        requests.keys.forEach { number ->
            requests.remove(number)?.let { it.fail(if (it.query == null) UNKNOWN else UNAVAILABLE) }
        }
        try {
            storage.close()
        } catch (fault: IOException) {
            logger.warn { "event=folder-not-closed group=$name cause=\"$fault\"" }
        }
    }

    private fun failureOf(end: WorkerEnd): String? = when (end) {
        is WorkerEnd.Closed -> null
        is WorkerEnd.Failed -> end.cause
        is WorkerEnd.Fatal -> end.cause
    }

    /** Lets another replica lead at once. The message promises nothing about durable state, so it needs no disk. */
    private fun handOver() {
        val leading = replica?.takeIf { it.isLeader } ?: return
        try {
            leading.step(clock.now(), listOf(ReplicaEvent.TransferLeadership))
                .filterIsInstance<ReplicaAction.Send>()
                .filter { it.message.content is TakeOver }
                .forEach { parts.transport.send(it.instance, it.message) }
        } catch (fault: Exception) {
            logger.warn { "event=not-handed-over group=$name cause=\"$fault\"" }
        }
    }

    private fun handleEvents(): WorkerEnd {
        var nextTick = clock.now()
        while (!stopped) {
            val events = ArrayList<ReplicaEvent>()
            queue.poll(waitNanoseconds(nextTick), TimeUnit.NANOSECONDS)?.let { events += it }
            queue.drainTo(events, MAXIMUM_BATCH)
            val now = clock.now()
            if (now >= nextTick) {
                events += ReplicaEvent.Tick
                nextTick = now + parts.tickInterval
            }
            val failure = step(events)
            if (failure != null) {
                logger.error { "event=replica_stopped group=$name ${failure.message}" }
                return WorkerEnd.Failed(failure.message)
            }
            waitingMessageBytes.addAndGet(-messageBytesOf(events))
            latest = statusNow(failure = null)
            handledAt = clock.now()
        }
        return WorkerEnd.Closed
    }

    private fun messageBytesOf(events: List<ReplicaEvent>): Long =
        events.sumOf { if (it is ReplicaEvent.Receive) it.message.payloadBytes else 0 }

    private fun waitNanoseconds(nextTick: Moment): Long =
        if (running().hasUnapplied) 0 else (nextTick - clock.now()).inWholeNanoseconds.coerceAtLeast(0)

    /** Returns the failure of the disk, after which nothing more may be sent or answered. */
    private fun step(events: List<ReplicaEvent>): StorageError? {
        var next = events
        do {
            val followUp = ArrayList<ReplicaEvent>()
            for (action in running().step(clock.now(), next)) carryOut(action, followUp)?.let { return it }
            sync(followUp)?.let { return it }
            next = followUp
        } while (next.isNotEmpty() && !stopped)
        return null
    }

    private fun carryOut(action: ReplicaAction, followUp: ArrayList<ReplicaEvent>): StorageError? {
        when (action) {
            is ReplicaAction.Send -> parts.transport.send(action.instance, action.message)
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

    private fun running(): Replica = checkNotNull(replica) { "the replica has ended" }

    private fun statusNow(failure: String?): GroupStatus {
        val replica = running()
        return GroupStatus(
            address = replica.address,
            isLeader = failure == null && replica.isLeader,
            leader = if (failure == null) replica.leaderHint else null,
            term = replica.term,
            commitIndex = replica.commitIndex,
            lastIndex = replica.lastIndex,
            configuration = replica.configuration,
            isConfigurationCommitted = replica.isConfigurationCommitted,
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
        val UNKNOWN = GroupFailure.OutcomeUnknown("the replica stopped before the command was committed")

        /** Bounds the time between two ticks under load. */
        const val MAXIMUM_BATCH = 4_096
    }
}
