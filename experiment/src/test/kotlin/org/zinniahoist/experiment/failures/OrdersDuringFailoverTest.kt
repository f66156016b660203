package org.zinniahoist.experiment.failures

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.api.io.TempDir
import org.zinniahoist.standin.client.LiveOutcome
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isNotEmpty
import java.nio.file.Path
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration.Companion.milliseconds

@Timeout(120)
class OrdersDuringFailoverTest {
    /** Guards against an order that runs twice, or a false not-run, when claims and outcomes meet a leader's death. */
    @Test
    fun `orders run at most once while the ledger's leader is killed and restarted`(@TempDir folder: Path) =
        runBlocking<Unit>(Dispatchers.Default) {
            FailureCluster(folder, controlReplicas = 3).use { failures ->
                failures.start()
                // Orders are in flight between their claim and their outcome when the leader dies.
                failures.cluster.service.delay = 50.milliseconds
                val history = OrderHistory(failures)
                confirmDuringFailover(failures, history)
                val keys = history.outcomes.keys.sorted()
                val ran = keys.filter { history.executions(it) > 0 }
                expectThat(ran).isNotEmpty()
                expectThat(
                    keys.filter { key ->
                        history.outcomes.getValue(key).all(OrderHistory::isNotRun) && key in ran
                    },
                )
                    .describedAs("keys that ran although each attempt was answered as not-run").isEmpty()
                val served = keys.filter { key -> history.outcomes.getValue(key).any { it is LiveOutcome.Served } }
                expectThat(served - ran.toSet()).describedAs("keys answered without an execution").isEmpty()

                val repeats = coroutineScope {
                    keys.map { key -> async { key to history.repeat(key) } }.awaitAll()
                }
                expectThat(repeats.filter { (_, answers) -> answers.distinct().size != 1 })
                    .describedAs("keys whose repeats differ between the entries").isEmpty()
                expectThat(keys.filter { history.executions(it) > 1 }).describedAs("keys that ran twice").isEmpty()
                expectThat(
                    keys.filter { it !in ran && history.outcomes.getValue(it).all(OrderHistory::isNotRun) }
                        .filter { history.executions(it) != 1 },
                )
                    .describedAs("keys answered as not-run that a repeat could not run").isEmpty()
                val first = history.outcomes.mapValues { (_, list) ->
                    list.filterIsInstance<LiveOutcome.Served>().map { "${it.status} ${it.body}" }.distinct()
                }
                expectThat(repeats.filter { (key, answers) -> first.getValue(key).any { it != answers.first() } })
                    .describedAs("keys whose repeat differs from the first answer").isEmpty()
                val counts = history.outcomes.values.flatten().groupingBy { outcome ->
                    if (outcome is LiveOutcome.Refused) outcome.problem.verdict else outcome::class.simpleName
                }.eachCount()
                println("orders keys=${keys.size} executed-before-repeat=${ran.size} first-outcomes=$counts")
                expectThat(
                    failures.cluster.service.executions.groupBy {
                        it.key
                    }.filterValues { it.size > 1 },
                ).hasSize(0)
            }
        }

    private suspend fun confirmDuringFailover(failures: FailureCluster, history: OrderHistory) = coroutineScope {
        val recovered = AtomicBoolean()
        launch {
            var number = 0
            while (!recovered.get()) {
                val key = "order-${++number}"
                launch { history.outcomes[key] = history.confirm(key) }
                delay(ORDER_INTERVAL)
            }
        }
        failures.await { failures.cluster.service.executions.size >= ORDERS_BEFORE_KILL }
        val leader = failures.awaitLeader(FailureCluster.LEDGER)
        failures.cluster.kill(leader)
        failures.awaitLeader(FailureCluster.LEDGER, failures.cluster.controlNames - leader)
        val before = failures.cluster.service.executions.size
        failures.await { failures.cluster.service.executions.size > before }
        failures.cluster.restart(leader)
        failures.awaitVoters()
        recovered.set(true)
    }

    private companion object {
        const val ORDERS_BEFORE_KILL = 20
        val ORDER_INTERVAL = 20.milliseconds
    }
}
