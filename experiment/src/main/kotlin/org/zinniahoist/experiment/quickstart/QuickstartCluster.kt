package org.zinniahoist.experiment.quickstart

import arrow.core.Either
import kotlinx.coroutines.delay
import org.zinniahoist.daemon.Daemon
import org.zinniahoist.daemon.control.ControlGroups
import org.zinniahoist.daemon.timeline.EventRecorder
import org.zinniahoist.model.Endpoint
import org.zinniahoist.settings.DaemonSettings
import org.zinniahoist.settings.DaemonSettingsReader
import org.zinniahoist.standin.engine.EngineConfiguration
import org.zinniahoist.standin.engine.StandInEngine
import org.zinniahoist.standin.service.StandInService
import java.io.IOException
import java.net.ServerSocket
import java.net.URI
import java.nio.file.Path
import kotlin.time.Duration.Companion.milliseconds

/** One control replica, two entries and four sidecars before stand-in upstreams, all in this process over loopback. */
internal class QuickstartCluster(
    private val folder: Path,
    clockRate: Double,
    private val events: (String) -> EventRecorder,
) {
    val engines = List(ENGINES) { index ->
        StandInEngine(
            EngineConfiguration(
                name = "engine-${index + 1}",
                models = mapOf(QuickstartTree.MODEL to 1L),
                clockRate = clockRate,
                checksFencingTokens = index > 0,
            ),
        )
    }
    val service = StandInService()
    private val ports = freePorts(DAEMONS * 2).iterator()
    private val linkEndpoints =
        (listOf("control-1", "entry-1", "entry-2") + samplers() + "orders-1").associateWith {
            Endpoint(HOST, ports.next())
        }
    private val daemons = LinkedHashMap<String, Daemon>()

    /** Addresses of the entries for callers and trainers. */
    val entries: List<URI>
        get() = listOf("entry-1", "entry-2").map { URI("http://${daemons.getValue(it).httpEndpoint}") }

    suspend fun start() {
        engines.forEach { it.start() }
        service.start()
        val files = linkEndpoints.keys.associateWith { settingsOf(it) }
        val control = files.getValue("control-1")
        val created = ControlGroups.bootstrap(
            control.name,
            checkNotNull(control.control),
            Path.of(checkNotNull(control.dataFolder)),
            System.currentTimeMillis(),
        )
        check(created is Either.Right) { "the consensus groups could not be created: $created" }
        files.forEach { (name, settings) -> daemons[name] = Daemon(settings, events(name)).also { it.start() } }
        val revision = QuickstartOperator(linkEndpoints.getValue("control-1")).use {
            it.applyTree(QuickstartTree.text())
        }
        while (daemons.values.any { !it.isReady || it.settingsRevision < revision }) delay(READY_CHECK)
    }

    /** Stops entries first, then sidecars and control, each gracefully. */
    suspend fun drain() {
        daemons.entries.sortedBy { (name, _) -> STOP_ORDER.indexOfFirst(name::startsWith) }.forEach { it.value.drain() }
        engines.forEach { it.close() }
        service.close()
    }

    private fun settingsOf(name: String): DaemonSettings =
        DaemonSettingsReader.parse("$name.ini", iniOf(name)).fold({ faults ->
            error(faults.joinToString { it.message })
        }, { it })

    private fun iniOf(name: String): String {
        val domain = (linkEndpoints.keys.indexOf(name) % FAILURE_DOMAINS) + 1
        val role = when {
            name.startsWith("control") -> "control"
            name.startsWith("entry") -> "entry"
            else -> "sidecar"
        }
        return buildString {
            appendLine("[instance]\nname = $name\nfailure-domain = ${QuickstartTree.REGION}-$domain")
            appendLine("region = ${QuickstartTree.REGION}\nroles = $role\nbranch = ${QuickstartTree.BRANCH}")
            appendLine("http-port = ${ports.next()}\nlink-port = ${linkEndpoints.getValue(name).port}")
            if (role == "control") appendLine("data-folder = ${folder.resolve(name)}")
            appendLine("[peers]\ncontrol-1 = ${linkEndpoints["control-1"]}")
            append(section("entries") { it.startsWith("entry") })
            append(section("sidecars") { it in samplers() || it == "orders-1" })
            if (role == "sidecar") append(upstream(name))
            if (role == "control") {
                appendLine("[control]\nsettings-members = control-1\n[ledgers]\n${QuickstartTree.REGION} = control-1")
            }
        }
    }

    private fun section(title: String, include: (String) -> Boolean): String =
        linkEndpoints.filterKeys(include).entries.joinToString("\n", "[$title]\n", "\n") { "${it.key} = ${it.value}" }

    private fun upstream(name: String): String {
        val index = samplers().indexOf(name)
        if (index < 0) {
            return "[upstream]\nkind = plain-service\nservice = ${QuickstartTree.SERVICE}\n" +
                "endpoint = $HOST:${service.address.port}\n"
        }
        return "[upstream]\nkind = model-engine\nmodel = ${QuickstartTree.MODEL}\n" +
            "endpoint = $HOST:${engines[index].port}\nchecks-fencing-tokens = ${index > 0}\n"
    }

    private fun samplers() = List(ENGINES) { "sampler-${it + 1}" }

    private companion object {
        const val HOST = "127.0.0.1"
        const val ENGINES = 3
        const val DAEMONS = 7
        const val FAILURE_DOMAINS = 3
        val STOP_ORDER = listOf("entry", "sampler", "orders", "control")
        val READY_CHECK = 20.milliseconds

        /** Ports below the range from which outgoing connections take theirs, so that none of these can be taken. */
        val PORTS = 20_000..30_000

        fun freePorts(count: Int): List<Int> =
            PORTS.shuffled().asSequence().filter { port -> isFree(port) }.take(count).toList()

        private fun isFree(port: Int): Boolean = try {
            ServerSocket(port).close()
            true
        } catch (_: IOException) {
            false
        }
    }
}
