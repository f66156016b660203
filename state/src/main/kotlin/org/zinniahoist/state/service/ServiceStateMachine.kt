package org.zinniahoist.state.service

import org.zinniahoist.consensus.StateMachine
import org.zinniahoist.model.FencingToken
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Revision
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.state.StateCodec
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Told of changes by the thread of the replica; must not block. */
public interface ServiceListener {
    /** A configuration with a higher revision is in force. */
    public fun onConfiguration(configuration: StoredConfiguration)

    /** [record] was accepted, restored or ended. */
    public fun onJob(record: JobRecord)

    /** [record] got results. A replica that starts is told of all results of its log, one after the other. */
    public fun onResults(record: JobRecord)

    /** The newest weights of a model are named. */
    public fun onVersion(model: ModelName, version: WeightVersion)
}

/**
 * Configuration, named versions of weights, batch jobs with their results, and fencing tokens.
 *
 * @param retention time after its submission for which a job and its results are kept.
 * @param endedRetention the same for a job that its trainer has ended.
 */
public class ServiceStateMachine(
    private val listener: ServiceListener,
    private val retention: Duration = DEFAULT_RETENTION,
    private val endedRetention: Duration = DEFAULT_ENDED_RETENTION,
) : StateMachine {
    private val jobsByIdentifier = ConcurrentHashMap<JobIdentifier, JobRecord>()
    private val namedVersions = ConcurrentHashMap<ModelName, WeightVersion>()
    private val retiring = ConcurrentHashMap<String, Retirement>()

    /** The configuration in force, or null before the first. */
    @Volatile
    public var configuration: StoredConfiguration? = null
        private set

    /** Newest named weights by model. */
    public val versions: Map<ModelName, WeightVersion> get() = namedVersions

    /** Jobs that are kept. */
    public val jobs: Collection<JobRecord> get() = jobsByIdentifier.values

    /** Replicas that are to give up their place, by the operator's name of the machine. */
    public val retirements: Map<String, Retirement> get() = retiring

    /** Returns the job with [identifier], or null. */
    public fun job(identifier: JobIdentifier): JobRecord? = jobsByIdentifier[identifier]

    override fun apply(index: Long, timeMilliseconds: Long, command: ByteArray): ByteArray {
        expire(timeMilliseconds)
        return StateCodec.encode(carryOut(index, timeMilliseconds, command))
    }

    private fun carryOut(index: Long, timeMilliseconds: Long, bytes: ByteArray): ServiceAnswer {
        val command = StateCodec.decode<ServiceCommand>(bytes)
        when (command) {
            is ServiceCommand.AcceptConfiguration -> accept(StoredConfiguration(command.revision, command.document))
            is ServiceCommand.NameVersion -> name(command)
            is ServiceCommand.SubmitJob -> submit(command.job, timeMilliseconds)
            is ServiceCommand.RecordResults -> return record(command, bytes)
            is ServiceCommand.RecordTexts -> return recordTexts(command)
            is ServiceCommand.EndJob -> return end(command.job)
            is ServiceCommand.RetireInstance -> retiring[command.node] = Retirement(command.node, command.instance)
            is ServiceCommand.DrawFence -> return ServiceAnswer.Fence(FencingToken(index))
        }
        return ServiceAnswer.Done
    }

    private fun accept(offered: StoredConfiguration) {
        if (offered.revision <= (configuration?.revision ?: Revision.NONE)) return
        configuration = offered
        listener.onConfiguration(offered)
    }

    private fun name(command: ServiceCommand.NameVersion) {
        val present = namedVersions[command.model]
        if (present != null && present >= command.version) return
        namedVersions[command.model] = command.version
        listener.onVersion(command.model, command.version)
    }

    private fun submit(job: BatchJob, timeMilliseconds: Long) {
        if (jobsByIdentifier.containsKey(job.identifier)) return
        val record = JobRecord(job, timeMilliseconds)
        jobsByIdentifier[job.identifier] = record
        listener.onJob(record)
    }

    private fun record(command: ServiceCommand.RecordResults, bytes: ByteArray): ServiceAnswer {
        val record = jobsByIdentifier[command.job] ?: return ServiceAnswer.UnknownJob
        record.list(command.results, bytes)
        listener.onResults(record)
        return ServiceAnswer.Done
    }

    private fun recordTexts(command: ServiceCommand.RecordTexts): ServiceAnswer {
        val record = jobsByIdentifier[command.job] ?: return ServiceAnswer.UnknownJob
        command.parts.forEach(record::add)
        return ServiceAnswer.Done
    }

    private fun end(identifier: JobIdentifier): ServiceAnswer {
        val record = jobsByIdentifier[identifier] ?: return ServiceAnswer.UnknownJob
        record.end()
        listener.onJob(record)
        return ServiceAnswer.Done
    }

    private fun expire(timeMilliseconds: Long) {
        val oldest = timeMilliseconds - retention.inWholeMilliseconds
        val oldestEnded = timeMilliseconds - endedRetention.inWholeMilliseconds
        jobsByIdentifier.values.removeIf { it.submittedMilliseconds < if (it.isEnded) oldestEnded else oldest }
    }

    /** Answers nothing; a query only confirms that what was acknowledged before it is applied here. */
    override fun query(timeMilliseconds: Long, query: ByteArray): ByteArray = ByteArray(0)

    override fun snapshot(): ByteArray = StateCodec.encode(
        ServiceSnapshot(configuration, namedVersions.toMap(), jobs.map(JobSnapshot::of), retiring.values.toList()),
    )

    override fun restore(snapshot: ByteArray) {
        val state = StateCodec.decode<ServiceSnapshot>(snapshot)
        // A reader on another thread must find a job that is in both states at any time.
        val restored = state.jobs.map { it.restore() }
        jobsByIdentifier.keys.retainAll(restored.map { it.job.identifier }.toSet())
        restored.forEach { jobsByIdentifier[it.job.identifier] = it }
        namedVersions.keys.retainAll(state.versions.keys)
        namedVersions.putAll(state.versions)
        retiring.keys.retainAll(state.retirements.map { it.node }.toSet())
        state.retirements.forEach { retiring[it.node] = it }
        configuration = state.configuration
        state.configuration?.let(listener::onConfiguration)
        state.versions.forEach { (model, version) -> listener.onVersion(model, version) }
        restored.forEach(listener::onJob)
    }

    public companion object {
        /** Longer than any job stays open. */
        public val DEFAULT_RETENTION: Duration = 10.minutes

        /**
         * The two minutes for which trainers read results, and the difference of two leaders' clocks, each of which
         * may be off by 6 s in either direction.
         */
        public val DEFAULT_ENDED_RETENTION: Duration = 150.seconds
    }
}
