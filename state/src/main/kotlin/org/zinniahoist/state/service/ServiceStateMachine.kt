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

/** Receives state changes on the thread of the replica; implementations must not block. */
public interface ServiceListener {
    /** A configuration with a higher revision was accepted, or one was restored from a snapshot. */
    public fun onConfiguration(configuration: StoredConfiguration)

    /** [record] was accepted, restored or ended. */
    public fun onJob(record: JobRecord)

    /** [record] received results. The replay of the log at start makes one call for each command with results. */
    public fun onResults(record: JobRecord)

    /** The newest weight version of a model was set or restored. */
    public fun onVersion(model: ModelName, version: WeightVersion)
}

/**
 * Replicated state machine of the configuration, the newest weight versions, batch jobs with their results, fencing
 * tokens, usage windows, and crashes of upstreams.
 *
 * @param retention time for which a job and its results are retained after the submission.
 * @param endedRetention time after the submission for which a job that its trainer has ended is retained.
 */
public class ServiceStateMachine(
    private val listener: ServiceListener,
    private val retention: Duration = DEFAULT_RETENTION,
    private val endedRetention: Duration = DEFAULT_ENDED_RETENTION,
) : StateMachine {
    private val jobsByIdentifier = ConcurrentHashMap<JobIdentifier, JobRecord>()
    private val newestVersions = ConcurrentHashMap<ModelName, WeightVersion>()
    private val retiringNodes = ConcurrentHashMap<String, Retirement>()

    /** The latest accepted configuration, or null if none was accepted. */
    @Volatile
    public var configuration: StoredConfiguration? = null
        private set

    /** Newest weight version by model. */
    public val versions: Map<ModelName, WeightVersion> get() = newestVersions

    /** Jobs that have not expired. */
    public val jobs: Collection<JobRecord> get() = jobsByIdentifier.values

    /** Replicas that are marked for removal, by the operator's name of the instance. */
    public val retirements: Map<String, Retirement> get() = retiringNodes

    /** Closed windows of the usage reports. */
    public val usage: UsageLedger = UsageLedger()

    /** Crashes of upstreams at runs of requests. */
    public val crashes: CrashRecords = CrashRecords(CRASH_RETENTION)

    /** Returns the job with [identifier], or null. */
    public fun job(identifier: JobIdentifier): JobRecord? = jobsByIdentifier[identifier]

    override fun apply(index: Long, timeMilliseconds: Long, command: ByteArray): ByteArray {
        expire(timeMilliseconds)
        return StateCodec.encode(execute(index, timeMilliseconds, command))
    }

    private fun execute(index: Long, timeMilliseconds: Long, bytes: ByteArray): ServiceAnswer =
        when (val command = StateCodec.decode<ServiceCommand>(bytes)) {
            is ServiceCommand.AcceptConfiguration -> done {
                accept(StoredConfiguration(command.revision, command.document))
            }
            is ServiceCommand.NameVersion -> done { setVersion(command) }
            is ServiceCommand.SubmitJob -> submit(command.job, timeMilliseconds)
            is ServiceCommand.RecordResults -> record(command, bytes)
            is ServiceCommand.RecordTexts -> onJob(command.job) { command.parts.forEach(it::addTextPart) }
            is ServiceCommand.RecordFailures -> onJob(command.job) { command.failures.forEach(it::addFailures) }
            is ServiceCommand.RecordCrashes -> done { crashes.record(command, timeMilliseconds) }
            is ServiceCommand.EndJob -> end(command.job)
            is ServiceCommand.RetireInstance -> done { retire(command) }
            is ServiceCommand.DrawFence -> ServiceAnswer.Fence(FencingToken(index))
            is ServiceCommand.CloseUsageWindow -> done { usage.close(command) }
            is ServiceCommand.UsageReported -> done { usage.forget(command.window) }
        }

    private inline fun done(change: () -> Unit): ServiceAnswer {
        change()
        return ServiceAnswer.Done
    }

    private inline fun onJob(identifier: JobIdentifier, change: (JobRecord) -> Unit): ServiceAnswer {
        change(jobsByIdentifier[identifier] ?: return ServiceAnswer.UnknownJob)
        return ServiceAnswer.Done
    }

    private fun retire(command: ServiceCommand.RetireInstance) {
        retiringNodes[command.node] = Retirement(command.node, command.instance)
    }

    private fun accept(offered: StoredConfiguration) {
        if (offered.revision <= (configuration?.revision ?: Revision.NONE)) return
        configuration = offered
        listener.onConfiguration(offered)
    }

    private fun setVersion(command: ServiceCommand.NameVersion) {
        val current = newestVersions[command.model]
        if (current != null && current >= command.version) return
        newestVersions[command.model] = command.version
        listener.onVersion(command.model, command.version)
    }

    private fun submit(job: BatchJob, timeMilliseconds: Long): ServiceAnswer {
        val known = jobsByIdentifier[job.identifier]
        if (known != null) {
            // Another workspace must not learn that the identifier is in use.
            val isOwn = known.job.workspace == null || known.job.workspace == job.workspace
            return if (isOwn) ServiceAnswer.Done else ServiceAnswer.UnknownJob
        }
        val record = JobRecord(job, timeMilliseconds)
        jobsByIdentifier[job.identifier] = record
        listener.onJob(record)
        return ServiceAnswer.Done
    }

    private fun record(command: ServiceCommand.RecordResults, bytes: ByteArray): ServiceAnswer = onJob(command.job) {
        it.addResults(command.results, bytes)
        listener.onResults(it)
    }

    private fun end(identifier: JobIdentifier): ServiceAnswer = onJob(identifier) {
        it.end()
        listener.onJob(it)
    }

    private fun expire(timeMilliseconds: Long) {
        crashes.expire(timeMilliseconds)
        val oldest = timeMilliseconds - retention.inWholeMilliseconds
        val oldestEnded = timeMilliseconds - endedRetention.inWholeMilliseconds
        jobsByIdentifier.values.removeIf { it.submittedMilliseconds < if (it.isEnded) oldestEnded else oldest }
    }

    /** Returns an empty answer; a query only confirms that all commands acknowledged before it are applied here. */
    override fun query(timeMilliseconds: Long, query: ByteArray): ByteArray = ByteArray(0)

    override fun snapshot(): ByteArray = StateCodec.encode(
        ServiceSnapshot(
            configuration,
            newestVersions.toMap(),
            jobs.map(JobSnapshot::of),
            retiringNodes.values.toList(),
            usage.snapshot(),
            crashes.all,
        ),
    )

    override fun restore(snapshot: ByteArray) {
        val state = StateCodec.decode<ServiceSnapshot>(snapshot)
        // Updates the maps in place, so that concurrent readers always find a job that is in both states.
        val restored = state.jobs.map { it.restore() }
        jobsByIdentifier.keys.retainAll(restored.map { it.job.identifier }.toSet())
        restored.forEach { jobsByIdentifier[it.job.identifier] = it }
        newestVersions.keys.retainAll(state.versions.keys)
        newestVersions.putAll(state.versions)
        retiringNodes.keys.retainAll(state.retirements.map { it.node }.toSet())
        state.retirements.forEach { retiringNodes[it.node] = it }
        usage.restore(state.usage)
        crashes.restore(state.crashes)
        configuration = state.configuration
        state.configuration?.let(listener::onConfiguration)
        state.versions.forEach { (model, version) -> listener.onVersion(model, version) }
        restored.forEach(listener::onJob)
    }

    public companion object {
        /** Time for which processes count a crash against a request. */
        private val CRASH_RETENTION: Duration = 10.minutes

        /** Exceeds the longest time for which a job stays open. */
        public val DEFAULT_RETENTION: Duration = 10.minutes

        /**
         * Covers the two minutes for which trainers read results, and the difference between the clocks of two
         * leaders, each of which may be off by 6 s in either direction.
         */
        public val DEFAULT_ENDED_RETENTION: Duration = 150.seconds
    }
}
