package org.zinniahoist.experiment.quickstart

import arrow.core.Either
import kotlinx.coroutines.delay
import org.zinniahoist.daemon.Daemon
import org.zinniahoist.daemon.control.ControlGroups
import org.zinniahoist.daemon.timeline.EventRecorder
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.Revision
import org.zinniahoist.settings.DaemonSettings
import org.zinniahoist.settings.DaemonSettingsReader
import org.zinniahoist.standin.engine.EngineConfiguration
import org.zinniahoist.standin.engine.StandInEngine
import org.zinniahoist.standin.service.StandInService
import java.io.IOException
import java.net.ServerSocket
import java.net.URI
import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds

/**
 * Control replicas, two entries and four sidecars before stand-in upstreams, all in this process over loopback.
 *
 * @param controlReplicas 1, or 3 to survive the loss of one; the first is bootstrapped and the others join.
 */
internal class QuickstartCluster(
    private val folder: Path,
    clockRate: Double,
    controlReplicas: Int = 1,
    private val events: (String) -> EventRecorder,
) : AutoCloseable {
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
    val controlNames = List(controlReplicas) { "control-${it + 1}" }
    private val names = controlNames + listOf("entry-1", "entry-2") + samplers() + "orders-1"
    private val ports = freePorts(names.size * 2).iterator()
    private val linkEndpoints = names.associateWith { Endpoint(HOST, ports.next()) }
    private val settings by lazy { names.associateWith(::settingsOf) }
    private val daemons: MutableMap<String, Daemon> = ConcurrentHashMap()

    /** Link addresses of the control replicas. */
    val controlLinks: List<Endpoint> get() = controlNames.map(linkEndpoints::getValue)

    /** Addresses of the entries for callers and trainers. */
    val entries: List<URI>
        get() = listOf("entry-1", "entry-2").map(::httpAddress)

    /** Address of the HTTP server of the daemon [name], whether it runs or not. */
    fun httpAddress(name: String): URI = URI("http://$HOST:${settings.getValue(name).httpPort}")

    /** The running daemon [name]. */
    fun daemon(name: String): Daemon = daemons.getValue(name)

    suspend fun start() {
        engines.forEach { it.start() }
        service.start()
        val control = settings.getValue(controlNames.first())
        val created = ControlGroups.bootstrap(
            control.name,
            checkNotNull(control.control),
            Path.of(checkNotNull(control.dataFolder)),
            System.currentTimeMillis(),
        )
        check(created is Either.Right) { "the consensus groups could not be created: $created" }
        names.forEach { restart(it) }
        val revision = operator().use { it.applyTree(QuickstartTree.text()) }
        awaitRevision(revision)
        awaitUpstreams()
    }

    /** Returns once all running daemons are ready and act on [revision] or a later one. */
    suspend fun awaitRevision(revision: Revision) {
        while (daemons.values.any { !it.isReady || it.settingsRevision < revision }) delay(READY_CHECK)
    }

    /** Returns once all running entries can send work to all upstreams. */
    suspend fun awaitUpstreams() {
        val entries = daemons.filterKeys { it.startsWith("entry") }.values
        while (entries.any { it.availableUpstreams < engines.size + 1 }) delay(READY_CHECK)
    }

    /** A new operator with links to all control replicas. */
    fun operator() = QuickstartOperator(controlLinks)

    /** Stops the daemon [name] at once, as a crash of its process would. */
    fun kill(name: String): Unit = checkNotNull(daemons.remove(name)) { "$name does not run" }.close()

    /** Stops the daemon [name] gracefully. */
    suspend fun drain(name: String): Unit = checkNotNull(daemons.remove(name)) { "$name does not run" }.drain()

    /** Starts the daemon [name], which does not run, with its settings and the files that it left. */
    suspend fun restart(name: String) {
        check(name !in daemons) { "$name runs" }
        daemons[name] = Daemon(settings.getValue(name), events(name)).also { it.start() }
    }

    /** Starts the daemon [name], which does not run, with its settings and an empty disk. */
    suspend fun restartEmpty(name: String) {
        check(name !in daemons) { "$name runs" }
        check(folder.resolve(name).toFile().deleteRecursively()) { "the folder of $name could not be deleted" }
        restart(name)
    }

    /** Stops entries first, then sidecars and control, each gracefully. */
    suspend fun drain() {
        names.filter {
            it in daemons
        }.sortedBy { name -> STOP_ORDER.indexOfFirst(name::startsWith) }.forEach { drain(it) }
        closeUpstreams()
    }

    /** Stops everything at once. */
    override fun close() {
        names.filter { it in daemons }.forEach(::kill)
        closeUpstreams()
    }

    private fun closeUpstreams() {
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
            append(section("peers") { it in controlNames })
            append(section("entries") { it.startsWith("entry") })
            append(section("sidecars") { it in samplers() || it == "orders-1" })
            if (role == "sidecar") append(upstream(name))
            if (role == "control") {
                val members = controlNames.joinToString(", ")
                appendLine("[control]\nsettings-members = $members\n[ledgers]\n${QuickstartTree.REGION} = $members")
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
