package org.zinniahoist.settings

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import org.zinniahoist.model.Endpoint
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Roles of a process in a deployment whose platform names the machines. */
public enum class GatewayRole {
    /** Serves clients; keeps nothing durable. */
    ENTRY,

    /** Holds a replica of the service group and serves operators. */
    CORE,
}

/** Settings of one process of a gateway deployment. */
public data class GatewaySettings(
    /** Name by which the operator knows the machine. */
    public val machine: String,
    public val role: GatewayRole,
    public val failureDomain: String,
    public val region: String,
    public val address: String,
    /** Port on which replicas accept links; the same on all machines. */
    public val linkPort: Int,
    public val dataFolder: String?,
    /** Address for clients, of an entry. */
    public val clients: Endpoint?,
    /** Address for the questions whether this process can serve. */
    public val readiness: Endpoint?,
    /** Address for operators, of a core. */
    public val operators: Endpoint?,
    /** Addresses for operators of some cores. */
    public val seeds: List<Endpoint>,
    /** True when the deployment starts for the first time, with empty disks. */
    public val firstStart: Boolean,
    /** Machines that may be lost at the same time. */
    public val toleratedLosses: Int,
    /** Address of the platform's list of upstreams. */
    public val listEndpoint: Endpoint,
    /** Time in which requests may finish after the process is asked to stop. */
    public val grace: Duration,
    /** Time after which another holder may give orders to an upstream. */
    public val orderLease: Duration,
)

/** Reads the INI file of a gateway process. All faults are returned at once. */
public object GatewaySettingsReader {
    /** Reads [path]. */
    public fun read(path: Path): Either<NonEmptyList<SettingsFault>, GatewaySettings> =
        readText(path).flatMap { parse(path.toString(), it) }

    /** Parses [text]; faults name [file]. */
    public fun parse(file: String, text: String): Either<NonEmptyList<SettingsFault>, GatewaySettings> {
        val values = GatewayValues(file, IniDocument.parse(file, text))
        val settings = values.build()
        val faults = values.faults.sortedBy { it.place }.toNonEmptyListOrNull()
        return faults?.left() ?: checkNotNull(settings).right()
    }
}

private class GatewayValues(
    private val file: String,
    document: IniDocument,
) {
    val faults = document.faults.toMutableList()
    private val entries = LinkedHashMap<String, IniEntry>()
    private val asked = LinkedHashSet<String>()

    init {
        for (section in document.sections) {
            for (entry in section.entries) {
                val name = "${section.name}.${entry.key}"
                val first = entries.putIfAbsent(name, entry) ?: continue
                faults += SettingsFault.DuplicateKey(entry.place, name, entry.value, first.place)
            }
        }
    }

    fun build(): GatewaySettings? {
        val role = required("process.role", "entry, core") { text ->
            GatewayRole.entries.find { it.name.equals(text, ignoreCase = true) }
        }
        val isEntry = role == GatewayRole.ENTRY
        val built = listOf(
            required("process.machine", TEXT) { it },
            required("process.failure-domain", TEXT) { it },
            required("process.region", TEXT) { it },
            required("process.address", TEXT) { it },
        )
        val linkPort =
            required("process.link-port", "1 to 65535") { it.toIntOrNull()?.takeIf { port -> port in PORTS } }
        val dataFolder = optional("process.data-folder", TEXT) { it }
        val clients = endpoint("listen.clients", isRequired = isEntry)
        val readiness = endpoint("listen.readiness", isRequired = isEntry)
        val operators = endpoint("listen.operators", isRequired = role == GatewayRole.CORE)
        val seeds = required("group.seeds", "addresses host:port, with commas") { endpoints(it) }
        val firstStart = required("group.first-start", "true, false") { it.toBooleanStrictOrNull() }
        val losses = required("group.tolerated-losses", "0 to 10") { it.toIntOrNull()?.takeIf { n -> n in 0..10 } }
        val list = endpoint("platform.list", isRequired = true)
        val grace = required("times.grace-seconds", NUMBER) { it.toDoubleOrNull() }
        val lease = required("times.order-lease-milliseconds", NUMBER) { it.toDoubleOrNull() }
        if (role == GatewayRole.CORE && dataFolder == null) missing("process.data-folder", TEXT)
        reportUnknown()
        if (faults.isNotEmpty()) return null
        return GatewaySettings(
            machine = built[0].orEmpty(),
            role = checkNotNull(role),
            failureDomain = built[1].orEmpty(),
            region = built[2].orEmpty(),
            address = built[3].orEmpty(),
            linkPort = checkNotNull(linkPort),
            dataFolder = dataFolder,
            clients = clients,
            readiness = readiness,
            operators = operators,
            seeds = seeds.orEmpty(),
            firstStart = firstStart == true,
            toleratedLosses = checkNotNull(losses),
            listEndpoint = checkNotNull(list),
            grace = checkNotNull(grace).seconds,
            orderLease = checkNotNull(lease).milliseconds,
        )
    }

    private fun endpoint(name: String, isRequired: Boolean): Endpoint? =
        if (isRequired) required(name, ADDRESS, Endpoint::parse) else optional(name, ADDRESS, Endpoint::parse)

    private fun endpoints(text: String): List<Endpoint>? =
        text.split(',').map { Endpoint.parse(it.trim()) ?: return null }

    private fun <T : Any> required(name: String, allowed: String, parse: (String) -> T?): T? {
        val value = optional(name, allowed, parse)
        val entry = entries[name]
        if (entry == null || entry.value.isEmpty()) missing(name, allowed)
        return value
    }

    private fun <T : Any> optional(name: String, allowed: String, parse: (String) -> T?): T? {
        asked += name
        val entry = entries[name]?.takeIf { it.value.isNotEmpty() } ?: return null
        val value = parse(entry.value)
        if (value == null) faults += SettingsFault.InvalidValue(entry.place, name, entry.value, allowed)
        return value
    }

    private fun missing(name: String, allowed: String) {
        faults += SettingsFault.MissingKey(Place(file, 0), name, allowed)
    }

    private fun reportUnknown() {
        for ((name, entry) in entries) {
            if (name in asked) continue
            val known = "keys ${asked.joinToString(", ")}"
            faults +=
                SettingsFault.UnknownKey(entry.place, name, entry.value, known, suggestionFor(name, asked.toList()))
        }
    }

    private companion object {
        val PORTS = 1..65_535
        const val TEXT = "a text"
        const val NUMBER = "a number"
        const val ADDRESS = "an address host:port"
    }
}
