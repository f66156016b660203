package org.zinniahoist.experiment.failures

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import org.zinniahoist.experiment.quickstart.QuickstartTree
import org.zinniahoist.standin.client.LiveOutcome
import java.util.concurrent.ConcurrentHashMap

/** Confirms orders through both entries at once and keeps all outcomes by key. */
internal class OrderHistory(private val cluster: FailureCluster) {
    private val callers = listOf("entry-1", "entry-2").map(cluster::caller)

    /** Outcomes of the first two confirmations of each key. */
    val outcomes = ConcurrentHashMap<String, List<LiveOutcome>>()

    suspend fun confirm(key: String): List<LiveOutcome> = coroutineScope {
        callers.map { caller ->
            async { caller.post(QuickstartTree.SERVICE, "orders", bodyOf(key), key).await() }
        }.awaitAll()
    }

    /** Repeats [key] through both entries until neither refuses it as not-run, and returns what each answered. */
    suspend fun repeat(key: String): List<String> = coroutineScope {
        callers.map { caller ->
            async {
                var outcome = caller.post(QuickstartTree.SERVICE, "orders", bodyOf(key), key).await()
                while (isNotRun(outcome)) {
                    delay(RETRY_MILLISECONDS)
                    outcome = caller.post(QuickstartTree.SERVICE, "orders", bodyOf(key), key).await()
                }
                describe(outcome)
            }
        }.awaitAll()
    }

    fun executions(key: String): Int = cluster.cluster.service.executions.count { it.body == bodyOf(key) }

    companion object {
        private const val RETRY_MILLISECONDS = 50L

        fun isNotRun(outcome: LiveOutcome) = outcome is LiveOutcome.Refused && outcome.problem.verdict == "not-run"

        private fun bodyOf(key: String) = """{"basket":"$key"}"""

        private fun describe(outcome: LiveOutcome) = when (outcome) {
            is LiveOutcome.Served -> "${outcome.status} ${outcome.body}"
            is LiveOutcome.Refused -> outcome.problem.verdict.toString()
            else -> outcome.toString()
        }
    }
}
