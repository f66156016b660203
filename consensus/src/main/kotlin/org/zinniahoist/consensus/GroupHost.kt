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

/** Result of a proposal, query or membership change. */
public typealias GroupAnswer = Either<GroupFailure, ByteArray>

/** Reopens the folder of a replica after a failure; see [GroupStorage.open]. */
public typealias FolderOpener = () -> Either<StorageError, GroupStorage.OpenedStorage>

/**
 * Runs one replica on its own thread.
 *
 * A replica stops if its disk fails or it can't apply a command: it no longer votes, acknowledges entries or answers
 * requests. If [reopen] is given, the host then reopens the folder with exponential backoff until this succeeds, and
 * the replica recovers from its durable state as after a restart. Otherwise the replica remains stopped.
 *
 * Thread-safe.
 *
 * @param name name of the group, used for the thread and in log lines.
 * @param stateMachine an empty state machine; it is reset to the empty state before the folder is reopened.
 * @param opened the opened folder of the replica; closed by [close].
 * @param reopen reopens the folder after a failure; called when the previously opened storage is closed.
 * @param onFailure called at most once, with the cause, when the replica stops permanently because of a failure. Called
 * on the thread of the replica; must not block.
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
    private val reopen: FolderOpener? = null,
    private val onFailure: (String) -> Unit = {},
) : AutoCloseable {
    private val dependencies =
        ReplicaDependencies(name, instance, stateMachine, transport, options, clock, random, tickInterval)
    private val emptyState = if (reopen == null) null else stateMachine.snapshot()
    private val closing = CountDownLatch(1)

    @Volatile
    private var joinTargets: ReplicaEvent.SetJoinTargets? = null

    @Volatile
    private var worker: ReplicaWorker
    private val thread: Thread

    /** Status of the replica, for operators and metrics. */
    public val status: GroupStatus get() = worker.status(clock.now())

    /** Events queued for the thread of the replica. */
    public val waiting: QueuedEvents get() = worker.waiting

    init {
        opened.recovered.snapshot?.let { stateMachine.restore(it.data) }
        worker = ReplicaWorker(dependencies, opened)
        thread = thread(name = "group-$name", isDaemon = true) { run() }
    }

    /**
     * Proposes [command]. The future completes with the answer of the state machine once the command is committed and
     * applied on this replica.
     */
    public fun propose(command: ByteArray): CompletableFuture<GroupAnswer> =
        worker.request(query = null) { ReplicaEvent.Propose(it, clock.wallMilliseconds(), command) }

    /** Runs a linearizable [query]: it observes all commands acknowledged by any replica before this call. */
    public fun query(query: ByteArray): CompletableFuture<GroupAnswer> = worker.request(query) { ReplicaEvent.Read(it) }

    /** Changes the members of the group. The answer is empty. */
    public fun changeMembership(change: MembershipChange): CompletableFuture<GroupAnswer> =
        worker.request(query = null) { ReplicaEvent.ChangeMembership(it, change) }

    /**
     * Sets the [instances] to which this replica sends join requests while it has no leader or is not a member, and the
     * [excluded] instances, whose replicas may not join.
     */
    public fun introduce(instances: Set<InstanceName>, excluded: Set<InstanceName> = emptySet()) {
        val event = ReplicaEvent.SetJoinTargets(instances, excluded)
        joinTargets = event
        worker.post(event)
    }

    /** Reports that the process on [instance] no longer listens. If its replica led, an election starts early. */
    public fun reportStopped(instance: InstanceName): Unit = worker.post(ReplicaEvent.PeerStopped(instance))

    /** Transfers the leadership to another voter if this replica leads. Called before the process stops. */
    public fun handOver(): Unit = worker.post(ReplicaEvent.TransferLeadership)

    /** Queues a message received from another replica. */
    public fun receive(message: ReplicaMessage): Unit = worker.receive(message)

    /** Stops the replica and fails its pending requests. */
    override fun close() {
        closing.countDown()
        worker.close()
        if (Thread.currentThread() != thread) thread.join()
    }

    private fun run() {
        try {
            runUntilStopped()?.let(onFailure)
        } catch (failure: Throwable) {
            logger.error(failure) { "event=replica_failed group=${dependencies.name}" }
            onFailure(failure.toString())
        }
    }

    /** Runs the replica, reopening it after failures. Returns the cause of a permanent failure, or null if closed. */
    private fun runUntilStopped(): String? {
        var backoff = INITIAL_BACKOFF
        while (true) {
            val startedAt = clock.now()
            val failure = when (val result = worker.run()) {
                is WorkerResult.Closed -> return null
                is WorkerResult.Fatal -> return result.cause
                is WorkerResult.Failed -> result.cause
            }
            if (reopen == null) return failure
            if (clock.now() - startedAt >= BACKOFF_RESET_TIME) backoff = INITIAL_BACKOFF
            emptyState?.let(stateMachine::restore)
            backoff = nextBackoff(reopenWithBackoff(backoff, reopen) ?: return null)
        }
    }

    /** Reopens the folder with exponential backoff that starts at [backoff]. Returns the last, or null if closed. */
    private fun reopenWithBackoff(backoff: Duration, open: FolderOpener): Duration? {
        var next = backoff
        while (true) {
            logger.warn { "event=replica-reopens group=${dependencies.name} after=$next" }
            if (closing.await(next.inWholeMilliseconds, TimeUnit.MILLISECONDS)) return null
            open().fold(::logReopenFailure) {
                resume(it)
                return next
            }
            next = nextBackoff(next)
        }
    }

    private fun logReopenFailure(error: StorageError) =
        logger.error { "event=replica-not-reopened group=${dependencies.name} ${error.message}" }

    private fun resume(opened: GroupStorage.OpenedStorage) {
        opened.recovered.snapshot?.let { stateMachine.restore(it.data) }
        val next = ReplicaWorker(dependencies, opened)
        worker = next
        joinTargets?.let(next::post)
        if (closing.count == 0L) next.close()
        logger.info {
            "event=replica-reopened group=${dependencies.name} last-index=${next.status(clock.now()).lastIndex}"
        }
    }

    private fun nextBackoff(backoff: Duration): Duration = minOf(backoff * 2, MAXIMUM_BACKOFF)

    private companion object {
        val logger = KotlinLogging.logger {}
        val INITIAL_BACKOFF = 100.milliseconds

        /**
         * Bounds the delay until a disk that accepts writes again is used. Not shorter, because each attempt may read
         * the whole folder.
         */
        val MAXIMUM_BACKOFF = 2.seconds

        /** Minimum run time of a replica after which the backoff restarts from its initial value. */
        val BACKOFF_RESET_TIME = 10.seconds
    }
}

/** Dependencies of a replica that are kept when its folder is reopened. */
internal class ReplicaDependencies(
    val name: String,
    val instance: InstanceName,
    val stateMachine: StateMachine,
    val transport: ReplicaTransport,
    val options: ReplicaOptions,
    val clock: GroupClock,
    val random: Random,
    val tickInterval: Duration,
)
