package org.zinniahoist.gateway.core

import io.github.oshai.kotlinlogging.KotlinLogging
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.policy.dispatch.ModelBacklog
import org.zinniahoist.policy.dispatch.ModelUpstreams
import org.zinniahoist.policy.dispatch.OverdueJob
import kotlin.math.roundToInt
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Reports how the upstreams are allocated to models, as gauges and as one log line per second and model, and logs each
 * job that is not finished when it is due. All functions run on the engine thread.
 */
internal class ModelLog(
    private val metrics: GatewayMetrics,
    private val write: (String) -> Unit = { logger.info { it } },
) {
    /** Written on the engine thread and read by the metrics endpoint. */
    @Volatile
    private var latest: List<ModelLine> = emptyList()
    private var writtenAt: Moment? = null
    private val loggedLateJobs = LinkedHashSet<String>()

    init {
        GAUGES.forEach { (name, gauge) ->
            metrics.gauges("zinniahoist_model_$name", gauge.help, "model") {
                latest.associate { it.upstreams.model.value to gauge.read(it) }
            }
        }
    }

    /**
     * Once per second writes a line for each model that [upstreams] returns, with its items from [work], and one for
     * each job from [late] that was not logged before.
     */
    fun tick(
        now: Moment,
        upstreams: () -> List<ModelUpstreams>,
        work: (ModelName) -> ModelBacklog,
        late: () -> List<OverdueJob>,
    ) {
        if (writtenAt?.let { now - it < LINE_INTERVAL } == true) return
        writtenAt = now
        latest = upstreams().map { ModelLine(it, work(it.model)) }
        latest.forEach { write(line(it)) }
        late().filter { loggedLateJobs.add(it.job) }.forEach { write(line(it)) }
        while (loggedLateJobs.size > MAXIMUM_LOGGED_JOBS) loggedLateJobs.remove(loggedLateJobs.first())
    }

    /** Resets the gauges and the logged jobs, because this replica no longer allocates upstreams. */
    fun clear() {
        latest = emptyList()
        loggedLateJobs.clear()
    }

    private fun line(entry: ModelLine): String = with(entry) {
        "event=model model=${upstreams.model} version=${upstreams.newest} homes=${upstreams.homes} " +
            "share=${upstreams.share.roundToInt()} current=${upstreams.current} loads=${upstreams.loads} " +
            "running=${work.running} waiting=${work.waiting} tokens=${work.tokens} " +
            "oldest-wait-ms=${work.oldestWait.inWholeMilliseconds}"
    }

    private fun line(late: OverdueJob): String = with(late.slowest) {
        "event=job-late job=${late.job} running=${late.running} waiting=${late.waiting} slowest=${key.item} " +
            "upstream=$upstream events=$events runs=$runs moves=$moves failures=$failures " +
            "fruitless-runs=$consecutiveEmptyRuns"
    }

    private class ModelLine(
        val upstreams: ModelUpstreams,
        val work: ModelBacklog,
    )

    private class Gauge(
        val help: String,
        val read: (ModelLine) -> Number,
    )

    private companion object {
        private val logger = KotlinLogging.logger {}
        val LINE_INTERVAL = 1.seconds
        const val MAXIMUM_LOGGED_JOBS = 1_000

        val GAUGES = mapOf(
            "homes" to Gauge("Upstreams that get new weights of the model.") { it.upstreams.homes },
            "share" to Gauge("Upstreams for which the work of the model calls.") { it.upstreams.share },
            "current_upstreams" to Gauge("Upstreams with the newest weights of the model.") { it.upstreams.current },
            "loads" to Gauge("Orders to load weights of the model in progress.") { it.upstreams.loads },
            "running_items" to Gauge("Items of the model that run.") { it.work.running },
            "waiting_items" to Gauge("Items of the model that wait.") { it.work.waiting },
            "oldest_wait_seconds" to Gauge("Time for which the oldest item of the model waits, in seconds.") {
                it.work.oldestWait.toDouble(DurationUnit.SECONDS)
            },
        )
    }
}
