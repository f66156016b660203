package org.zinniahoist.consensus

import arrow.core.getOrElse
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import java.nio.ByteBuffer
import kotlin.random.Random

/** Faults that are planted to show that the checks can fail. */
internal enum class PlantedFault {
    NONE,
    ACKNOWLEDGE_BEFORE_SYNC,
    VOTE_WITH_EMPTIED_DISK,
    SKIP_TERM_CHECK,
    READ_WITHOUT_QUORUM,
}

/** One instance with its disk, clock and replica, driven by a [Simulation]. */
internal class SimulatedNode(
    val instance: InstanceName,
    private val options: ReplicaOptions,
    private val random: Random,
    private val oracle: Oracle,
    private val fault: PlantedFault,
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
    private var chain = 0L

    /** Requests in progress: identifiers of writes, and for reads the index that they must include. */
    private val writes = HashMap<Long, Long>()
    private val readFloors = HashMap<Long, Long>()

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
        chain = 0
        opened.recovered.snapshot?.let(::restore)
        replica = Replica(instance, options, opened.recovered, random, now)
    }

    /** Stops at any point of a write; what was not synced may be lost. */
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
        readFloors.clear()
    }

    fun replaceDisk() {
        stop()
        files = MemoryFileStore()
        if (fault != PlantedFault.VOTE_WITH_EMPTIED_DISK) identifier = ReplicaIdentifier(random.nextLong())
    }

    fun receive(message: ReplicaMessage) {
        val term = replica?.term ?: return
        val skip = fault == PlantedFault.SKIP_TERM_CHECK && message.term < term
        inbox += ReplicaEvent.Receive(if (skip) message.copy(term = term) else message)
    }

    fun propose(request: Long, command: ByteArray) {
        writes[request] = ByteBuffer.wrap(command).getLong()
        inbox += ReplicaEvent.Propose(request, wallMilliseconds, command)
    }

    fun read(request: Long) {
        if (fault == PlantedFault.READ_WITHOUT_QUORUM) {
            if (replica?.isLeader == true) oracle.onRead(appliedIndex, oracle.visibleIndex)
            return
        }
        readFloors[request] = oracle.visibleIndex
        inbox += ReplicaEvent.Read(request)
    }

    fun step(send: (InstanceName, ReplicaMessage) -> Unit) {
        val running = replica ?: return
        val events = inbox.toList()
        inbox.clear()
        for (action in running.step(now, events)) carryOut(action, send)
    }

    /** Syncs what was written; the replica learns of it with its next step. */
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
                if (fault == PlantedFault.ACKNOWLEDGE_BEFORE_SYNC) inbox += ReplicaEvent.Persisted(action.sequence)
            }

            is ReplicaAction.Apply -> {
                if (action.entry.index != appliedIndex + 1) throw ViolationException("${action.entry} out of order")
                chain = oracle.onApply(action.entry, chain)
                appliedIndex = action.entry.index
                action.request?.let { writes.remove(it) }?.let { oracle.onAcknowledged(appliedIndex, it) }
            }

            is ReplicaAction.AnswerRead -> readFloors.remove(action.request)?.let { oracle.onRead(appliedIndex, it) }

            is ReplicaAction.FailRequest -> {
                writes.remove(action.request)
                readFloors.remove(action.request)
            }

            is ReplicaAction.RestoreStateMachine -> restore(action.snapshot)

            is ReplicaAction.TakeSnapshot -> takeSnapshot(action)

            is ReplicaAction.BecameLeader -> oracle.onLeader(action.term, identifier)

            is ReplicaAction.BecameFollower -> Unit
        }
    }

    private fun takeSnapshot(action: ReplicaAction.TakeSnapshot) {
        sync()
        val data = ByteBuffer.allocate(SNAPSHOT_BYTES).putLong(chain).array()
        val snapshot = Snapshot(action.index, action.term, action.timeMilliseconds, action.configuration, data)
        val saved = storage?.saveSnapshot(snapshot)
        if (saved?.isRight() == true) inbox += ReplicaEvent.SnapshotSaved(snapshot)
    }

    private fun restore(snapshot: Snapshot) {
        appliedIndex = snapshot.index
        chain = ByteBuffer.wrap(snapshot.data).getLong()
        oracle.onRestore(appliedIndex, chain)
    }

    private companion object {
        /** Larger than a chunk, so that snapshots are sent in several. */
        const val SNAPSHOT_BYTES = 700
    }
}
