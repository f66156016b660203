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

/** Told of changes by the thread of the replica; must not block. */
public interface ServiceListener {
    /** A configuration with a higher revision is in force. */
    public fun onConfiguration(configuration: StoredConfiguration)

    /** [record] was accepted, got results or was ended. */
    public fun onJob(record: JobRecord)

    /** The newest weights of a model are named. */
    public fun onVersion(model: ModelName, version: WeightVersion)
}

/**
 * Configuration, named versions of weights, batch jobs with their results, and fencing tokens.
 *
 * @param retention time after its submission for which a job and its results are kept.
 */
public class ServiceStateMachine(
    private val listener: ServiceListener,
    private val retention: Duration = DEFAULT_RETENTION,
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
        return StateCodec.encode(carryOut(index, timeMilliseconds, StateCodec.decode<ServiceCommand>(command)))
    }

    private fun carryOut(index: Long, timeMilliseconds: Long, command: ServiceCommand): ServiceAnswer {
        when (command) {
            is ServiceCommand.AcceptConfiguration -> accept(StoredConfiguration(command.revision, command.document))
            is ServiceCommand.NameVersion -> name(command)
            is ServiceCommand.SubmitJob -> submit(command.job, timeMilliseconds)
            is ServiceCommand.RecordResults -> return change(command.job) { it.list(command.results) }
            is ServiceCommand.EndJob -> return change(command.job) { it.end() }
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

    private fun change(identifier: JobIdentifier, block: (JobRecord) -> Unit): ServiceAnswer {
        val record = jobsByIdentifier[identifier] ?: return ServiceAnswer.UnknownJob
        block(record)
        listener.onJob(record)
        return ServiceAnswer.Done
    }

    private fun expire(timeMilliseconds: Long) {
        val oldest = timeMilliseconds - retention.inWholeMilliseconds
        jobsByIdentifier.values.removeIf { it.submittedMilliseconds < oldest }
    }

    /** Answers nothing; a query only confirms that what was acknowledged before it is applied here. */
    override fun query(timeMilliseconds: Long, query: ByteArray): ByteArray = ByteArray(0)

    override fun snapshot(): ByteArray = StateCodec.encode(
        ServiceSnapshot(configuration, namedVersions.toMap(), jobs.toList(), retiring.values.toList()),
    )

    override fun restore(snapshot: ByteArray) {
        val state = StateCodec.decode<ServiceSnapshot>(snapshot)
        // A reader on another thread must find a job that is in both states at any time.
        jobsByIdentifier.keys.retainAll(state.jobs.map { it.job.identifier }.toSet())
        state.jobs.forEach { jobsByIdentifier[it.job.identifier] = it }
        namedVersions.keys.retainAll(state.versions.keys)
        namedVersions.putAll(state.versions)
        retiring.keys.retainAll(state.retirements.map { it.node }.toSet())
        state.retirements.forEach { retiring[it.node] = it }
        configuration = state.configuration
        state.configuration?.let(listener::onConfiguration)
        state.versions.forEach { (model, version) -> listener.onVersion(model, version) }
        state.jobs.forEach(listener::onJob)
    }

    public companion object {
        /** Several times the two minutes for which trainers read results, as the leaders' clocks may jump. */
        public val DEFAULT_RETENTION: Duration = 10.minutes
    }
}
