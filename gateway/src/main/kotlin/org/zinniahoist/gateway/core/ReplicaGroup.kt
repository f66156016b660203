package org.zinniahoist.gateway.core

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import com.dynatrace.hash4j.hashing.Hashing
import io.github.oshai.kotlinlogging.KotlinLogging
import org.zinniahoist.consensus.Configuration
import org.zinniahoist.consensus.DiskFileStore
import org.zinniahoist.consensus.FileStore
import org.zinniahoist.consensus.GroupHost
import org.zinniahoist.consensus.GroupStorage
import org.zinniahoist.consensus.Member
import org.zinniahoist.consensus.ReplicaAddress
import org.zinniahoist.consensus.ReplicaIdentifier
import org.zinniahoist.consensus.ReplicaOptions
import org.zinniahoist.consensus.ReplicaTransport
import org.zinniahoist.consensus.StateMachine
import org.zinniahoist.consensus.StorageError
import org.zinniahoist.model.InstanceName
import org.zinniahoist.settings.GatewaySettings
import java.io.IOException
import java.nio.file.Path
import java.security.SecureRandom
import kotlin.time.Duration.Companion.milliseconds

/** Opens the replica of the service group on this instance. */
internal object ReplicaGroup {
    private val logger = KotlinLogging.logger {}

    /** Name of the group in log lines, in messages and of its data folder. */
    const val NAME = "service"

    /** Returns the name of this machine's replica, which is its link address. */
    fun instanceOf(settings: GatewaySettings): InstanceName = InstanceName("${settings.address}:${settings.linkPort}")

    /** Returns the replicas listed as seeds in [settings]. */
    fun seedsOf(settings: GatewaySettings): Set<InstanceName> =
        settings.seeds.map { InstanceName("${it.host}:${settings.linkPort}") }.toSet()

    /**
     * Opens the data folder and starts its replica. Retries as long as the disk fails.
     *
     * @param onFailure called once with the reason if the replica stops permanently.
     * @throws GatewayStartFailure if the data folder contains no usable replica.
     */
    fun open(
        settings: GatewaySettings,
        machine: StateMachine,
        transport: ReplicaTransport,
        onFailure: (String) -> Unit,
    ): GroupHost {
        val instance = instanceOf(settings)
        val seeds = seedsOf(settings)
        val host = GroupHost(
            NAME,
            instance,
            machine,
            openWithRetry(settings),
            transport,
            optionsOf(settings),
            tickInterval = TICK,
            reopen = { openFolder(settings, isAfterFailure = true) },
            onFailure = onFailure,
        )
        host.introduce(seeds)
        return host
    }

    /** Retries until the disk accepts writes; restarting the process would only hit the same fault. */
    private fun openWithRetry(settings: GatewaySettings): GroupStorage.OpenedStorage {
        var isAfterFailure = false
        while (true) {
            val error = openFolder(settings, isAfterFailure).fold({ it }, { return it })
            if (error !is StorageError.Failed) fail(error)
            logger.error { "event=replica-not-opened group=$NAME ${error.message}" }
            isAfterFailure = true
            Thread.sleep(OPEN_RETRY_DELAY.inWholeMilliseconds)
        }
    }

    private fun openFolder(
        settings: GatewaySettings,
        isAfterFailure: Boolean,
    ): Either<StorageError, GroupStorage.OpenedStorage> {
        val folder = Path.of(checkNotNull(settings.dataFolder) { "a core needs a data folder" }).resolve(NAME)
        return try {
            val files = DiskFileStore(folder)
            open(files, settings, isAfterFailure).onLeft { files.close() }
        } catch (fault: IOException) {
            StorageError.Failed(folder.toString(), fault).left()
        }
    }

    private fun open(files: FileStore, settings: GatewaySettings, isAfterFailure: Boolean) = either {
        val instance = instanceOf(settings)
        val seeds = seedsOf(settings)
        GroupStorage.discardUnfinishedBootstrap(files).bind()
        val isFirst = settings.firstStart && instance in seeds && files.list().isEmpty()
        if (isFirst) bootstrap(files, instance, seeds).bind()
        GroupStorage.open(files, freshIdentifier(), SEGMENT_BYTES, isAfterFailure).bind()
    }

    /** Derives replica identifiers from addresses, because all seeds must bootstrap with the same configuration. */
    private fun bootstrap(
        files: FileStore,
        instance: InstanceName,
        seeds: Set<InstanceName>,
    ): Either<StorageError, Unit> {
        val members = seeds.sortedBy { it.value }.map { Member(ReplicaAddress(identifierOf(it), it), voter = true) }
        return GroupStorage.bootstrap(files, identifierOf(instance), Configuration(members), timeMilliseconds = 0)
            .onRight { logger.info { "event=group-bootstrapped members=${seeds.joinToString(",")}" } }
    }

    private fun fail(error: StorageError): Nothing = throw GatewayStartFailure(error.message)

    private fun identifierOf(instance: InstanceName) =
        ReplicaIdentifier(Hashing.xxh3_64().hashCharsToLong(instance.value))

    private fun freshIdentifier() = ReplicaIdentifier(SecureRandom().nextLong(1, Long.MAX_VALUE))

    private fun optionsOf(settings: GatewaySettings) = ReplicaOptions(
        acceptsUnknownInstances = true,
        targetVoters = 2 * settings.toleratedLosses + 1,
        maximumCommandBytes = MAXIMUM_COMMAND_BYTES,
        snapshotInterval = SNAPSHOT_ENTRIES,
        trailingEntries = TRAILING_ENTRIES,
    )

    /** Tick of the consensus timers; half of the leader's heartbeat interval. */
    private val TICK = 50.milliseconds

    /** Small segments let a snapshot free disk space early. */
    private const val SEGMENT_BYTES = 8L shl 20

    private val OPEN_RETRY_DELAY = 500.milliseconds

    /** A batch job is one command, and its body may be up to 32 MiB. */
    private const val MAXIMUM_COMMAND_BYTES = 34 shl 20

    /** About ten minutes of results at 30 per second; keeps the in-memory log below about 100 MB. */
    private const val SNAPSHOT_ENTRIES = 20_000L
    private const val TRAILING_ENTRIES = 1_000L
}

/** Thrown if the process cannot start; [message] states the reason to the operator. */
public class GatewayStartFailure(message: String) : Exception(message)
