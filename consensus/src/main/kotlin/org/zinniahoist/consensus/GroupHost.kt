package org.zinniahoist.consensus

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Answer to a proposal or query. */
public typealias GroupAnswer = Either<GroupFailure, ByteArray>

/**
 * Runs one replica on its own thread. All events that arrive during one sync are handled and synced together.
 *
 * All functions may be called from any thread.
 *
 * @param name name of the group, for the thread and log lines.
 * @param opened the folder of the replica; closed by [close].
 * @param onFailure told once why the replica has stopped by itself. It votes and answers no more until the folder is
 * opened again. Called from the thread of the replica; must not block.
 */
public class GroupHost(
    private val name: String,
    instance: InstanceName,
    private val stateMachine: StateMachine,
    opened: GroupStorage.OpenedStorage,
    private val transport: ReplicaTransport,
    options: ReplicaOptions = ReplicaOptions(),
    private val clock: GroupClock = GroupClock.SYSTEM,
    random: Random = Random.Default,
    private val tickInterval: Duration = 20.milliseconds,
    private val onFailure: (String) -> Unit = {},
) : AutoCloseable {
    private val storage = opened.storage
    private val replica = Replica(instance, options, opened.recovered, random, clock.now())
    private val queue = LinkedBlockingQueue<ReplicaEvent>()
    private val requests = ConcurrentHashMap<Long, Request>()
    private val nextRequest = AtomicLong(1)
    private val unsynced = ArrayList<ReplicaAction.Persist>()
    private var lastAppliedTime = opened.recovered.snapshot?.timeMilliseconds ?: 0

    @Volatile
    private var stopped = false

    @Volatile
    private var finished = false

    /** State of the replica for operators and metrics. */
    @Volatile
    public var status: GroupStatus = statusNow(failure = null)
        private set

    private val worker: Thread

    init {
        opened.recovered.snapshot?.let { stateMachine.restore(it.data) }
        worker = thread(name = "group-$name", isDaemon = true) { run() }
    }

    /**
     * Proposes [command]. The future is completed with the answer of the state machine after the command was committed
     * and applied here.
     */
    public fun propose(command: ByteArray): CompletableFuture<GroupAnswer> =
        enqueue(query = null) { ReplicaEvent.Propose(it, clock.wallMilliseconds(), command) }

    /** Answers [query] from a state that includes all commands that were answered before this call, on any replica. */
    public fun query(query: ByteArray): CompletableFuture<GroupAnswer> = enqueue(query) { ReplicaEvent.Read(it) }

    /** Changes the members of the group; the answer is empty. */
    public fun changeMembership(change: MembershipChange): CompletableFuture<GroupAnswer> =
        enqueue(query = null) { ReplicaEvent.ChangeMembership(it, change) }

    /** Names the [instances] that an empty replica asks to let it join, and those that may not join. */
    public fun introduce(instances: Set<InstanceName>, excluded: Set<InstanceName> = emptySet()) {
        if (!stopped) queue += ReplicaEvent.Introduce(instances, excluded)
    }

    /** Reports that the process on [instance] no longer listens, so that another leader is elected at once. */
    public fun reportStopped(instance: InstanceName) {
        if (!stopped) queue += ReplicaEvent.Stopped(instance)
    }

    /** Hands the leadership over, if this replica has it, before the process stops. */
    public fun handOver() {
        if (!stopped) queue += ReplicaEvent.HandOver
    }

    /** Hands over a message that arrived from another replica. */
    public fun receive(message: ReplicaMessage) {
        if (!stopped) queue += ReplicaEvent.Receive(message)
    }

    /** Stops the replica; requests without an answer fail. */
    override fun close() {
        stopped = true
        if (Thread.currentThread() != worker) worker.join()
    }

    private fun enqueue(query: ByteArray?, event: (Long) -> ReplicaEvent): CompletableFuture<GroupAnswer> {
        val number = nextRequest.getAndIncrement()
        val request = Request(query)
        requests[number] = request
        queue += event(number)
        // The worker fails the requests that it sees when it stops; this one may have come later.
        if (finished) requests.remove(number)?.fail(UNAVAILABLE)
        return request.future
    }

    private fun run() {
        try {
            var nextTick = clock.now()
            while (!stopped) {
                val events = ArrayList<ReplicaEvent>()
                queue.poll(waitNanoseconds(nextTick), TimeUnit.NANOSECONDS)?.let { events += it }
                queue.drainTo(events, MAXIMUM_BATCH)
                val now = clock.now()
                if (now >= nextTick) {
                    events += ReplicaEvent.Tick
                    nextTick = now + tickInterval
                }
                step(events)
                if (stopped) return
                status = statusNow(failure = null)
            }
        } catch (failure: Throwable) {
            logger.error(failure) { "event=replica_failed group=$name" }
            status = statusNow(failure.toString())
        } finally {
            stopped = true
            storage.close()
            finished = true
            requests.keys.forEach { number ->
                requests.remove(number)?.let { it.fail(if (it.query == null) UNKNOWN else UNAVAILABLE) }
            }
            status.failure?.let(onFailure)
        }
    }

    private fun waitNanoseconds(nextTick: Moment): Long =
        if (replica.hasUnapplied) 0 else (nextTick - clock.now()).inWholeNanoseconds.coerceAtLeast(0)

    private fun step(events: List<ReplicaEvent>) {
        var next = events
        do {
            val followUp = ArrayList<ReplicaEvent>()
            replica.step(clock.now(), next).forEach { carryOut(it, followUp) }
            sync(followUp)
            next = followUp
        } while (next.isNotEmpty() && !stopped)
    }

    private fun carryOut(action: ReplicaAction, followUp: ArrayList<ReplicaEvent>) {
        when (action) {
            is ReplicaAction.Send -> transport.send(action.instance, action.message)
            is ReplicaAction.Persist -> unsynced += action
            is ReplicaAction.Apply -> apply(action)
            is ReplicaAction.AnswerRead -> answerRead(action.request)
            is ReplicaAction.Refuse -> requests.remove(action.request)?.fail(action.failure)
            is ReplicaAction.RestoreStateMachine -> restore(action.snapshot)
            is ReplicaAction.TakeSnapshot -> takeSnapshot(action, followUp)
            is ReplicaAction.BecameLeader -> logger.info { "event=became_leader group=$name term=${action.term}" }
            is ReplicaAction.BecameFollower -> logger.info { "event=became_follower group=$name term=${action.term}" }
        }
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

    private fun takeSnapshot(action: ReplicaAction.TakeSnapshot, followUp: ArrayList<ReplicaEvent>) {
        sync(followUp)
        if (stopped) return
        val data = stateMachine.snapshot()
        val snapshot = Snapshot(action.index, action.term, action.timeMilliseconds, action.configuration, data)
        storage.saveSnapshot(snapshot).fold(::stop) { followUp += ReplicaEvent.SnapshotSaved(snapshot) }
    }

    private fun sync(followUp: ArrayList<ReplicaEvent>) {
        if (unsynced.isEmpty() || stopped) return
        val sequence = unsynced.last().sequence
        storage.write(unsynced).fold(::stop) { followUp += ReplicaEvent.Persisted(sequence) }
        unsynced.clear()
    }

    private fun stop(error: StorageError) {
        logger.error { "event=replica_stopped group=$name ${error.message}" }
        status = statusNow(error.message)
        stopped = true
    }

    private fun statusNow(failure: String?): GroupStatus = GroupStatus(
        address = replica.address,
        isLeader = failure == null && replica.isLeader,
        leader = if (failure == null) replica.leaderHint else null,
        term = replica.term,
        commitIndex = replica.commitIndex,
        lastIndex = replica.lastIndex,
        configuration = replica.configuration,
        isConfigurationCommitted = replica.isConfigurationCommitted,
        failure = failure,
    )

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
