package org.zinniahoist.consensus

import arrow.core.getOrElse
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import java.nio.ByteBuffer
import kotlin.random.Random

/** Deliberate implementation bugs that the checks of the simulation must detect. */
internal enum class InjectedBug {
    NONE,
    ACKNOWLEDGE_BEFORE_SYNC,
    VOTE_WITH_EMPTIED_DISK,
    SKIP_TERM_CHECK,
    READ_WITHOUT_QUORUM,
}

/** Simulated instance with a disk, clock and replica, driven by a [Simulation]. */
internal class SimulatedNode(
    val instance: InstanceName,
    private val options: ReplicaOptions,
    private val random: Random,
    private val oracle: Oracle,
    private val bug: InjectedBug,
) {
    var files = MemoryFileStore()
    var replica: Replica? = null
        private set
    var identifier = ReplicaIdentifier(random.nextLong())
    var clockRate = 1.0
    var pausedUntil = 0
    private var localNanoseconds = random.nextLong(1_000_000_000)
    var wallMilliseconds = 1_000_000L + random.nextLong(100_000)
    private var storage: GroupStorage? = null
    val inbox = ArrayList<ReplicaEvent>()
    private val unsynced = ArrayList<ReplicaAction.Persist>()
    private var appliedIndex = 0L
    private var logHash = 0L

    /** Pending writes: the command identifier of each request. */
    private val writes = HashMap<Long, Long>()

    /** Pending reads: the read index of each request, which is the minimum index that the answer must reflect. */
    private val readIndexes = HashMap<Long, Long>()

    val now: Moment get() = Moment(localNanoseconds)
    val lastApplied: Long get() = appliedIndex

    fun passTime(milliseconds: Int) {
        localNanoseconds += (milliseconds * clockRate * 1_000_000).toLong()
        wallMilliseconds += milliseconds
    }

    fun start() {
        if (files.failSyncs) files.crash(random)
        val opened = GroupStorage.open(files, identifier, segmentBytes = 2_000).getOrElse { error(it.message) }
        storage = opened.storage
        identifier = opened.recovered.identifier
        appliedIndex = 0
        logHash = 0
        opened.recovered.snapshot?.let(::restore)
        replica = Replica(instance, options, opened.recovered, random, now)
    }

    /** Crashes the node, possibly during a write. Unsynced data may be lost. */
    fun crash() {
        if (unsynced.isNotEmpty() && random.nextBoolean()) {
            files.failSyncs = true
            storage?.write(unsynced)
        }
        stop()
        files.crash(random)
    }

    private fun stop() {
        replica = null
        storage = null
        inbox.clear()
        unsynced.clear()
        writes.clear()
        readIndexes.clear()
    }

    fun replaceDisk() {
        stop()
        files = MemoryFileStore()
        if (bug != InjectedBug.VOTE_WITH_EMPTIED_DISK) identifier = ReplicaIdentifier(random.nextLong())
    }

    fun receive(message: ReplicaMessage) {
        val term = replica?.term ?: return
        val skip = bug == InjectedBug.SKIP_TERM_CHECK && message.term < term
        inbox += ReplicaEvent.Receive(if (skip) message.copy(term = term) else message)
    }

    fun propose(request: Long, command: ByteArray) {
        writes[request] = ByteBuffer.wrap(command).getLong()
        inbox += ReplicaEvent.Propose(request, wallMilliseconds, command)
    }

    fun read(request: Long) {
        if (bug == InjectedBug.READ_WITHOUT_QUORUM) {
            if (replica?.isLeader == true) oracle.onRead(appliedIndex, oracle.visibleIndex)
            return
        }
        readIndexes[request] = oracle.visibleIndex
        inbox += ReplicaEvent.Read(request)
    }

    fun step(send: (InstanceName, ReplicaMessage) -> Unit) {
        val running = replica ?: return
        val events = inbox.toList()
        inbox.clear()
        for (action in running.step(now, events)) carryOut(action, send)
    }

    /** Syncs all pending changes. The replica is notified in its next step. */
    fun sync() {
        if (unsynced.isEmpty()) return
        val sequence = unsynced.last().sequence
        val written = storage?.write(unsynced)
        unsynced.clear()
        if (written?.isLeft() == true) stop() else inbox += ReplicaEvent.Persisted(sequence)
    }

    private fun carryOut(action: ReplicaAction, send: (InstanceName, ReplicaMessage) -> Unit) {
        when (action) {
            is ReplicaAction.Send -> send(action.instance, action.message)

            is ReplicaAction.Persist -> {
                unsynced += action
                if (bug == InjectedBug.ACKNOWLEDGE_BEFORE_SYNC) inbox += ReplicaEvent.Persisted(action.sequence)
            }

            is ReplicaAction.Apply -> {
                if (action.entry.index != appliedIndex + 1) throw InvariantViolation("${action.entry} out of order")
                logHash = oracle.onApply(action.entry, logHash)
                appliedIndex = action.entry.index
                action.request?.let { writes.remove(it) }?.let { oracle.onAcknowledged(appliedIndex, it) }
            }

            is ReplicaAction.AnswerRead -> readIndexes.remove(action.request)?.let { oracle.onRead(appliedIndex, it) }

            is ReplicaAction.FailRequest -> {
                writes.remove(action.request)
                readIndexes.remove(action.request)
            }

            is ReplicaAction.RestoreStateMachine -> restore(action.snapshot)

            is ReplicaAction.TakeSnapshot -> takeSnapshot(action)

            is ReplicaAction.BecameLeader -> oracle.onLeader(action.term, identifier)

            is ReplicaAction.BecameFollower -> Unit
        }
    }

    private fun takeSnapshot(action: ReplicaAction.TakeSnapshot) {
        sync()
        val data = ByteBuffer.allocate(SNAPSHOT_BYTES).putLong(logHash).array()
        val snapshot = Snapshot(action.index, action.term, action.timeMilliseconds, action.configuration, data)
        val saved = storage?.saveSnapshot(snapshot)
        if (saved?.isRight() == true) inbox += ReplicaEvent.SnapshotSaved(snapshot)
    }

    private fun restore(snapshot: Snapshot) {
        appliedIndex = snapshot.index
        logHash = ByteBuffer.wrap(snapshot.data).getLong()
        oracle.onRestore(appliedIndex, logHash)
    }

    private companion object {
        /** Larger than a chunk, so that each snapshot is sent in several chunks. */
        const val SNAPSHOT_BYTES = 700
    }
}
