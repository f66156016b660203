package org.zinniahoist.experiment.failures

import com.linecorp.armeria.client.WebClient
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import org.zinniahoist.daemon.timeline.EventRecorder
import org.zinniahoist.experiment.quickstart.QuickstartCluster
import org.zinniahoist.experiment.quickstart.QuickstartTree
import org.zinniahoist.standin.client.LiveCaller
import org.zinniahoist.state.report.GroupReport
import org.zinniahoist.state.report.StatusReport
import java.nio.file.Path
import java.util.concurrent.CompletionException
import java.util.concurrent.CopyOnWriteArrayList

/** An event that the daemon [instance] recorded. */
internal data class SeenEvent(
    val instance: String,
    val name: String,
    val fields: Map<String, Any?>,
)

/** A cluster of real daemons whose events and consensus groups a test can observe. */
internal class FailureCluster(
    folder: Path,
    controlReplicas: Int,
    clockRate: Double = 1.0,
) : AutoCloseable {
    val events = CopyOnWriteArrayList<SeenEvent>()
    val cluster = QuickstartCluster(folder, clockRate, controlReplicas) { instance ->
        EventRecorder { name, fields -> events += SeenEvent(instance, name, fields) }
    }

    /** Starts all daemons and returns once each control replica has a vote in each group. */
    suspend fun start() {
        cluster.start()
        awaitVoters()
    }

    /** Live caller of one entry. */
    fun caller(entry: String) =
        LiveCaller(listOf(cluster.httpAddress(entry)), QuickstartTree.CALLER_TOKEN, QuickstartTree.MODEL)

    /** Consensus groups by name as the control replica [name] sees them; empty if it can't be reached. */
    fun groups(name: String): Map<String, GroupReport> = try {
        val response = WebClient.of(cluster.httpAddress(name)).get("/control/v1/status").aggregate().join()
        json.decodeFromString<StatusReport>(response.contentUtf8()).groups.associateBy { it.name }
    } catch (_: CompletionException) {
        emptyMap()
    }

    /** Returns the leader of [group] once one of [replicas] knows it. */
    suspend fun awaitLeader(group: String, replicas: List<String> = cluster.controlNames): String {
        while (true) {
            replicas.firstNotNullOfOrNull { groups(it)[group]?.leader?.value?.takeIf(replicas::contains) }
                ?.let { return it }
            delay(CHECK_MILLISECONDS)
        }
    }

    /** Returns once all control replicas run and each sees each of them with a vote in each group. */
    suspend fun awaitVoters() = await {
        cluster.controlNames.all { name ->
            val groups = groups(name).values
            groups.size == GROUPS &&
                groups.all { group ->
                    group.members.size == cluster.controlNames.size && group.members.all { it.voter }
                }
        }
    }

    /** Returns once [condition] holds. */
    suspend fun await(condition: suspend () -> Boolean) {
        while (!condition()) delay(CHECK_MILLISECONDS)
    }

    override fun close(): Unit = cluster.close()

    companion object {
        const val LEDGER = "ledger-${QuickstartTree.REGION}"
        const val SETTINGS = "settings"
        private const val GROUPS = 2
        private const val CHECK_MILLISECONDS = 20L
        private val json = Json { ignoreUnknownKeys = true }
    }
}
