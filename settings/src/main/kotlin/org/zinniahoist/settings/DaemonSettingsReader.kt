package org.zinniahoist.settings

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.flatMap
import arrow.core.left
import arrow.core.nonEmptyListOf
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Region
import org.zinniahoist.model.Role
import org.zinniahoist.model.ServiceName
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Reads and validates the daemon's INI file. Returns all errors of the file at once, sorted by line. */
public object DaemonSettingsReader {
    /** Reads and parses the file at [path]. */
    public fun read(path: Path): Either<NonEmptyList<SettingsError>, DaemonSettings> =
        readText(path).flatMap { parse(path.toString(), it) }

    /** Parses [text]; errors are reported against [file]. */
    public fun parse(file: String, text: String): Either<NonEmptyList<SettingsError>, DaemonSettings> {
        val values = DaemonValues(file, IniDocument.parse(file, text))
        values.checkConsistency()
        val errors = values.errors.distinct().sortedBy { it.location }.toNonEmptyListOrNull()
        return errors?.left() ?: DaemonBuilder(values).build().right()
    }
}

/** Returns the content of the file at [path], or [SettingsError.Unreadable] on an I/O error. */
internal fun readText(path: Path): Either<NonEmptyList<SettingsError>, String> = try {
    Files.readString(path).right()
} catch (failure: IOException) {
    val cause = "${failure.javaClass.simpleName}: ${failure.message}"
    nonEmptyListOf(SettingsError.Unreadable(SourceLocation(path.toString(), 0), cause)).left()
}

/** Builds typed settings from [values] that passed validation. */
private class DaemonBuilder(private val values: DaemonValues) {
    fun build(): DaemonSettings {
        val roles = required(DaemonSchema.roles).map { Role.valueOf(it.uppercase()) }.toSet()
        return DaemonSettings(
            name = InstanceName(required(DaemonSchema.name)),
            failureDomain = FailureDomain(required(DaemonSchema.failureDomain), Region(required(DaemonSchema.region))),
            roles = roles,
            branch = required(DaemonSchema.branch),
            listenHost = required(DaemonSchema.listenHost),
            httpPort = required(DaemonSchema.httpPort).toInt(),
            linkPort = required(DaemonSchema.linkPort).toInt(),
            dataFolder = values.value(DaemonSchema.dataFolder),
            peers = endpoints("peers"),
            sidecars = endpoints("sidecars"),
            entries = endpoints("entries"),
            upstream = if (Role.SIDECAR in roles) upstream() else null,
            control = if (Role.CONTROL in roles) control() else null,
            limits = limits(),
            tls = tls(),
            allowPlaintext = required(DaemonSchema.allowPlaintext),
            logLevel = required(DaemonSchema.level),
            platform = platform(),
        )
    }

    private fun <T : Any> required(key: SettingKey<T>): T = checkNotNull(values.value(key))

    private fun endpoints(section: String): Map<InstanceName, Endpoint> = values.entriesOf(section).associate { entry ->
        InstanceName(entry.key) to checkNotNull(KeyType.Address.parse(entry.value))
    }

    private fun upstream(): UpstreamSettings {
        val kind =
            when (required(DaemonSchema.kind)) {
                "model-engine" -> {
                    val model = ModelName(required(DaemonSchema.model))
                    UpstreamKind.ModelEngine(model, required(DaemonSchema.checksFencingTokens))
                }

                else -> {
                    UpstreamKind.PlainService(ServiceName(required(DaemonSchema.service)))
                }
            }
        return UpstreamSettings(kind, required(DaemonSchema.endpoint))
    }

    private fun control(): ControlSettings = ControlSettings(
        settingsMembers = instances(required(DaemonSchema.settingsMembers)),
        ledgerMembers =
        values.entriesOf("ledgers").associate { entry ->
            Region(entry.key) to instances(checkNotNull(KeyType.NameSet.parse(entry.value)))
        },
        electionTimeout = required(DaemonSchema.electionTimeout),
        heartbeatInterval = required(DaemonSchema.replicaHeartbeat),
        snapshotEntries = required(DaemonSchema.snapshotEntries),
    )

    private fun instances(names: Set<String>): Set<InstanceName> = names.map { InstanceName(it) }.toSet()

    private fun limits(): DaemonLimits = DaemonLimits(
        bodySize = required(DaemonSchema.bodySize),
        frameSize = required(DaemonSchema.frameSize),
        concurrency = required(DaemonSchema.concurrency).toInt(),
    )

    private fun tls(): TlsSettings? = values.value(DaemonSchema.certificate)?.let {
        TlsSettings(it, required(DaemonSchema.privateKey), required(DaemonSchema.trust))
    }

    private fun platform(): PlatformSettings = PlatformSettings(
        listEndpoint = values.value(DaemonSchema.listEndpoint),
        listInterval = required(DaemonSchema.listInterval),
        weightStore = values.value(DaemonSchema.weightStore),
    )
}
