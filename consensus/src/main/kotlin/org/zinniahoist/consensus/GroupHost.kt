package org.zinniahoist.consensus

import arrow.core.Either
import io.github.oshai.kotlinlogging.KotlinLogging
import org.zinniahoist.model.InstanceName
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Answer to a proposal or query. */
public typealias GroupAnswer = Either<GroupFailure, ByteArray>

/** Opens the folder of a replica anew after a failure; see [GroupStorage.open]. */
public typealias FolderOpening = () -> Either<StorageError, GroupStorage.OpenedStorage>

/**
 * Runs one replica on its own thread.
 *
 * A replica whose disk fails, or that can't apply a command, ends: it votes, acknowledges and answers no more. With
 * [reopen] its folder is then opened and read as after a restart, again and again with pauses that grow, and the
 * replica goes on from what is durable. Without it, the replica has stopped for good.
 *
 * All functions may be called from any thread.
 *
 * @param name name of the group, for the thread and log lines.
 * @param stateMachine empty; it is emptied again before the folder is read anew.
 * @param opened the folder of the replica; closed by [close].
 * @param reopen opens the folder after a failure, when what was opened before is closed.
 * @param onFailure told once why the replica has stopped for good by itself. Called from the thread of the replica;
 * must not block.
 */
public class GroupHost(
    name: String,
    instance: InstanceName,
    private val stateMachine: StateMachine,
    opened: GroupStorage.OpenedStorage,
    transport: ReplicaTransport,
    options: ReplicaOptions = ReplicaOptions(),
    private val clock: GroupClock = GroupClock.SYSTEM,
    random: Random = Random.Default,
    tickInterval: Duration = 20.milliseconds,
    private val reopen: FolderOpening? = null,
    private val onFailure: (String) -> Unit = {},
) : AutoCloseable {
    private val parts = ReplicaParts(name, instance, stateMachine, transport, options, clock, random, tickInterval)
    private val emptyState = if (reopen == null) null else stateMachine.snapshot()
    private val closing = CountDownLatch(1)

    @Volatile
    private var introduction: ReplicaEvent.SetJoinTargets? = null

    @Volatile
    private var worker: ReplicaWorker
    private val thread: Thread

    /** State of the replica for operators and metrics. */
    public val status: GroupStatus get() = worker.status(clock.now())

    /** Events that wait for the thread of the replica now. */
    public val waiting: WaitingEvents get() = worker.waiting

    init {
        opened.recovered.snapshot?.let { stateMachine.restore(it.data) }
        worker = ReplicaWorker(parts, opened)
        thread = thread(name = "group-$name", isDaemon = true) { run() }
    }

    /**
     * Proposes [command]. The future is completed with the answer of the state machine after the command was committed
     * and applied here.
     */
    public fun propose(command: ByteArray): CompletableFuture<GroupAnswer> =
        worker.request(query = null) { ReplicaEvent.Propose(it, clock.wallMilliseconds(), command) }

    /** Answers [query] from a state that includes all commands that were answered before this call, on any replica. */
    public fun query(query: ByteArray): CompletableFuture<GroupAnswer> = worker.request(query) { ReplicaEvent.Read(it) }

    /** Changes the members of the group; the answer is empty. */
    public fun changeMembership(change: MembershipChange): CompletableFuture<GroupAnswer> =
        worker.request(query = null) { ReplicaEvent.ChangeMembership(it, change) }

    /** Names the [instances] that an empty replica asks to let it join, and those that may not join. */
    public fun introduce(instances: Set<InstanceName>, excluded: Set<InstanceName> = emptySet()) {
        val event = ReplicaEvent.SetJoinTargets(instances, excluded)
        introduction = event
        worker.post(event)
    }

    /** Reports that the process on [instance] no longer listens, so that another leader is elected at once. */
    public fun reportStopped(instance: InstanceName): Unit = worker.post(ReplicaEvent.PeerStopped(instance))

    /** Hands the leadership over, if this replica has it, before the process stops. */
    public fun handOver(): Unit = worker.post(ReplicaEvent.TransferLeadership)

    /** Hands over a message that arrived from another replica. */
    public fun receive(message: ReplicaMessage): Unit = worker.receive(message)

    /** Stops the replica; requests without an answer fail. */
    override fun close() {
        closing.countDown()
        worker.close()
        if (Thread.currentThread() != thread) thread.join()
    }

    private fun run() {
        try {
            runUntilStopped()?.let(onFailure)
        } catch (failure: Throwable) {
            logger.error(failure) { "event=replica_failed group=${parts.name}" }
            onFailure(failure.toString())
        }
    }

    /** Returns why the replica can't go on, or null if it was closed. */
    private fun runUntilStopped(): String? {
        var pause = FIRST_PAUSE
        while (true) {
            val startedAt = clock.now()
            val failure = when (val end = worker.run()) {
                is WorkerEnd.Closed -> return null
                is WorkerEnd.Fatal -> return end.cause
                is WorkerEnd.Failed -> end.cause
            }
            if (reopen == null) return failure
            if (clock.now() - startedAt >= SOUND_TIME) pause = FIRST_PAUSE
            emptyState?.let(stateMachine::restore)
            pause = longer(goOnAfter(pause, reopen) ?: return null)
        }
    }

    /** Opens the folder after [pause] and ever longer ones. Returns the last pause, or null if the host was closed. */
    private fun goOnAfter(pause: Duration, open: FolderOpening): Duration? {
        var next = pause
        while (true) {
            logger.warn { "event=replica-reopens group=${parts.name} after=$next" }
            if (closing.await(next.inWholeMilliseconds, TimeUnit.MILLISECONDS)) return null
            open().fold(::reportClosed) {
                goOn(it)
                return next
            }
            next = longer(next)
        }
    }

    private fun reportClosed(error: StorageError) =
        logger.error { "event=replica-not-reopened group=${parts.name} ${error.message}" }

    private fun goOn(opened: GroupStorage.OpenedStorage) {
        opened.recovered.snapshot?.let { stateMachine.restore(it.data) }
        val next = ReplicaWorker(parts, opened)
        worker = next
        introduction?.let(next::post)
        if (closing.count == 0L) next.close()
        logger.info { "event=replica-reopened group=${parts.name} last-index=${next.status(clock.now()).lastIndex}" }
    }

    private fun longer(pause: Duration): Duration = minOf(pause * 2, LONGEST_PAUSE)

    private companion object {
        val logger = KotlinLogging.logger {}
        val FIRST_PAUSE = 100.milliseconds

        /** A disk that takes writes again is used within this time; each attempt may read the whole folder. */
        val LONGEST_PAUSE = 2.seconds

        /** A replica that fails sooner again waits longer before the next attempt. */
        val SOUND_TIME = 10.seconds
    }
}

/** What stays the same when the folder of a replica is opened again. */
internal class ReplicaParts(
    val name: String,
    val instance: InstanceName,
    val stateMachine: StateMachine,
    val transport: ReplicaTransport,
    val options: ReplicaOptions,
    val clock: GroupClock,
    val random: Random,
    val tickInterval: Duration,
)
