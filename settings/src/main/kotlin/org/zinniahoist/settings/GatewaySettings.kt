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

/** Role of a process in a gateway deployment, where the platform lists the instances. */
public enum class GatewayRole {
    /** Serves clients; stores nothing durably. */
    ENTRY,

    /** Hosts a replica of the service group and serves operators. */
    CORE,
}

private val DEFAULT_DRAIN = 3.seconds
private val DEFAULT_REVOCATION = 5.seconds

/** Settings of one process of a gateway deployment. */
public data class GatewaySettings(
    /** Name that the operator assigns to the instance. */
    public val machine: String,
    public val role: GatewayRole,
    public val failureDomain: String,
    public val region: String,
    public val address: String,
    /** Port on which replicas accept links; the same on all instances. */
    public val linkPort: Int,
    public val dataFolder: String?,
    /** Listen address for clients; required for an entry. */
    public val clients: Endpoint?,
    /** Listen address of the readiness probe; required for an entry. */
    public val readiness: Endpoint?,
    /** Listen address for operators; required for a core. */
    public val operators: Endpoint?,
    /** Operator addresses of some of the cores, used for discovery of the group. */
    public val seeds: List<Endpoint>,
    /** Whether the deployment is bootstrapped with empty disks. */
    public val firstStart: Boolean,
    /** Number of instances that may fail at the same time. */
    public val toleratedLosses: Int,
    /** Address of the platform's list of upstreams. */
    public val listEndpoint: Endpoint,
    /** Grace period for requests in flight after the process receives a stop request. */
    public val grace: Duration,
    /** Duration of the lease after which another holder may send orders to an upstream. */
    public val orderLease: Duration,
    /** Time for which an upstream accepts requests after it said that it is leaving. */
    public val drain: Duration = DEFAULT_DRAIN,
    /** Time within which a revoked key must be refused. */
    public val revocation: Duration = DEFAULT_REVOCATION,
    /** Whether an entry refuses all keys once it has had no contact to the service group for [revocation]. */
    public val hasStrictRevocation: Boolean = false,
    /** Duties that the leader of the service group performs for the platform. */
    public val duties: DutySettings = DutySettings(),
    /** How requests and items share upstreams. */
    public val scheduling: SchedulingSettings = SchedulingSettings(),
) {
    /** Returns the keys of the settings file whose values differ from those in [other]. */
    public fun keysThatDiffer(other: GatewaySettings): List<String> {
        val others = other.values()
        return values().filter { (key, value) -> value != others[key] }.keys.toList()
    }

    private fun values(): Map<String, Any?> = mapOf(
        "process.machine" to machine,
        "process.role" to role,
        "process.failure-domain" to failureDomain,
        "process.region" to region,
        "process.address" to address,
        "process.link-port" to linkPort,
        "process.data-folder" to dataFolder,
        "listen.clients" to clients,
        "listen.readiness" to readiness,
        "listen.operators" to operators,
        "group.seeds" to seeds,
        "group.first-start" to firstStart,
        "group.tolerated-losses" to toleratedLosses,
        "platform.list" to listEndpoint,
        "times.grace-seconds" to grace,
        "times.order-lease-milliseconds" to orderLease,
        "times.drain-milliseconds" to drain,
        "times.revoke-milliseconds" to revocation,
        "keys.strict-revocation" to hasStrictRevocation,
    ) + duties.values() + scheduling.values()
}

/** Reads and validates the INI file of a gateway process. Returns all errors at once. */
public object GatewaySettingsReader {
    /** Reads and parses the file at [path]. */
    public fun read(path: Path): Either<NonEmptyList<SettingsError>, GatewaySettings> =
        readText(path).flatMap { parse(path.toString(), it) }

    /** Parses [text]; errors are reported against [file]. */
    public fun parse(file: String, text: String): Either<NonEmptyList<SettingsError>, GatewaySettings> {
        val values = GatewayValues(file, IniDocument.parse(file, text))
        val settings = values.build()
        val errors = values.errors.sortedBy { it.location }.toNonEmptyListOrNull()
        return errors?.left() ?: checkNotNull(settings).right()
    }
}

private class GatewayValues(
    private val file: String,
    document: IniDocument,
) {
    val errors = document.errors.toMutableList()
    private val entries = LinkedHashMap<String, IniEntry>()
    private val knownKeys = LinkedHashSet<String>()

    init {
        for (section in document.sections) {
            for (entry in section.entries) {
                val name = "${section.name}.${entry.key}"
                val first = entries.putIfAbsent(name, entry) ?: continue
                errors += SettingsError.DuplicateKey(entry.location, name, entry.value, first.location)
            }
        }
    }

    fun build(): GatewaySettings? {
        val role = required("process.role", "entry, core") { text ->
            GatewayRole.entries.find { it.name.equals(text, ignoreCase = true) }
        }
        val isEntry = role == GatewayRole.ENTRY
        val texts = listOf(
            required("process.machine", TEXT) { it },
            required("process.failure-domain", TEXT) { it },
            required("process.region", TEXT) { it },
            required("process.address", TEXT) { it },
        )
        val linkPort =
            required("process.link-port", "1 to 65535") { it.toIntOrNull()?.takeIf { port -> port in PORT_RANGE } }
        val dataFolder = optional("process.data-folder", TEXT) { it }
        val clients = endpoint("listen.clients", isRequired = isEntry)
        val readiness = endpoint("listen.readiness", isRequired = isEntry)
        val operators = endpoint("listen.operators", isRequired = role == GatewayRole.CORE)
        val seeds = required("group.seeds", "addresses host:port, with commas") { endpoints(it) }
        val firstStart = required("group.first-start", BOOLEAN) { it.toBooleanStrictOrNull() }
        val toleratedLosses =
            required("group.tolerated-losses", "0 to 10") { it.toIntOrNull()?.takeIf { n -> n in 0..10 } }
        val list = endpoint("platform.list", isRequired = true)
        val grace = required("times.grace-seconds", NUMBER) { it.toDoubleOrNull() }
        val lease = required("times.order-lease-milliseconds", NUMBER) { it.toDoubleOrNull() }
        val drain = optional("times.drain-milliseconds", NUMBER) { it.toDoubleOrNull() }
        val revocation = optional("times.revoke-milliseconds", NUMBER) { it.toDoubleOrNull() }
        val strictRevocation = optional("keys.strict-revocation", BOOLEAN) { it.toBooleanStrictOrNull() }
        val duties = duties()
        val scheduling = scheduling()
        if (role == GatewayRole.CORE && dataFolder == null) reportMissingKey("process.data-folder", TEXT)
        reportUnknownKeys()
        if (errors.isNotEmpty()) return null
        return GatewaySettings(
            machine = texts[0].orEmpty(),
            role = checkNotNull(role),
            failureDomain = texts[1].orEmpty(),
            region = texts[2].orEmpty(),
            address = texts[3].orEmpty(),
            linkPort = checkNotNull(linkPort),
            dataFolder = dataFolder,
            clients = clients,
            readiness = readiness,
            operators = operators,
            seeds = seeds.orEmpty(),
            firstStart = firstStart == true,
            toleratedLosses = checkNotNull(toleratedLosses),
            listEndpoint = checkNotNull(list),
            grace = checkNotNull(grace).seconds,
            orderLease = checkNotNull(lease).milliseconds,
            drain = drain?.milliseconds ?: DEFAULT_DRAIN,
            revocation = revocation?.milliseconds ?: DEFAULT_REVOCATION,
            hasStrictRevocation = strictRevocation == true,
            duties = duties,
            scheduling = scheduling,
        )
    }

    private fun duties(): DutySettings {
        val names = optional("duties.names", NAMES) { text -> text.split(',').map { it.trim() }.toSet() }
        val callsPerSecond = optional("duties.calls-per-second", POSITIVE, ::positive)
        val window = optional("duties.report-window-seconds", POSITIVE, ::positive)
        val lateness = optional("duties.report-lateness-seconds", POSITIVE, ::positive)
        val isFenceRequired = optional("duties.fence-required", BOOLEAN) { it.toBooleanStrictOrNull() }
        return DutySettings(
            names = names.orEmpty().filter { it.isNotEmpty() }.toSet(),
            callsPerSecond = callsPerSecond ?: DutySettings.DEFAULT_CALLS_PER_SECOND,
            reportWindow = window?.seconds ?: DutySettings.DEFAULT_REPORT_WINDOW,
            reportLateness = lateness?.seconds ?: DutySettings.DEFAULT_REPORT_LATENESS,
            isFenceRequired = isFenceRequired ?: true,
        )
    }

    private fun scheduling(): SchedulingSettings = SchedulingSettings(
        choice("scheduling.live-admission", LiveAdmissionMode.entries) ?: LiveAdmissionMode.NONE,
        choice("scheduling.item-order", ItemOrderSetting.entries) ?: ItemOrderSetting.DUE_TIME,
        choice("scheduling.placement", PlacementSetting.entries) ?: PlacementSetting.SLOTS,
    )

    private fun positive(text: String): Double? = text.toDoubleOrNull()?.takeIf { it > 0 && it.isFinite() }

    private fun <T : Enum<T>> choice(name: String, values: List<T>): T? {
        fun textOf(value: T) = value.name.lowercase().replace('_', '-')
        return optional(name, values.joinToString(", ", transform = ::textOf)) { text ->
            values.find { textOf(it) == text }
        }
    }

    private fun endpoint(name: String, isRequired: Boolean): Endpoint? =
        if (isRequired) required(name, ADDRESS, Endpoint::parse) else optional(name, ADDRESS, Endpoint::parse)

    private fun endpoints(text: String): List<Endpoint>? =
        text.split(',').map { Endpoint.parse(it.trim()) ?: return null }

    private fun <T : Any> required(name: String, allowed: String, parse: (String) -> T?): T? {
        val value = optional(name, allowed, parse)
        val entry = entries[name]
        if (entry == null || entry.value.isEmpty()) reportMissingKey(name, allowed)
        return value
    }

    private fun <T : Any> optional(name: String, allowed: String, parse: (String) -> T?): T? {
        knownKeys += name
        val entry = entries[name]?.takeIf { it.value.isNotEmpty() } ?: return null
        val value = parse(entry.value)
        if (value == null) errors += SettingsError.InvalidValue(entry.location, name, entry.value, allowed)
        return value
    }

    private fun reportMissingKey(name: String, allowed: String) {
        errors += SettingsError.MissingKey(SourceLocation(file, 0), name, allowed)
    }

    private fun reportUnknownKeys() {
        for ((name, entry) in entries) {
            if (name in knownKeys) continue
            val known = "keys ${knownKeys.joinToString(", ")}"
            errors +=
                SettingsError.UnknownKey(
                    entry.location,
                    name,
                    entry.value,
                    known,
                    suggestionFor(name, knownKeys.toList()),
                )
        }
    }

    private companion object {
        val PORT_RANGE = 1..65_535
        const val TEXT = "a text"
        const val NUMBER = "a number"
        const val POSITIVE = "a positive number"
        const val NAMES = "names, with commas"
        const val BOOLEAN = "true, false"
        const val ADDRESS = "an address host:port"
    }
}
