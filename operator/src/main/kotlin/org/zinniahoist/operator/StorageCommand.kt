package org.zinniahoist.operator

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import kotlinx.cli.ArgType
import kotlinx.cli.optional
import kotlinx.serialization.Serializable
import org.zinniahoist.consensus.DiskFileStore
import org.zinniahoist.consensus.FolderMaintenance
import org.zinniahoist.consensus.FolderReport
import org.zinniahoist.consensus.ReplicaIdentifier
import org.zinniahoist.consensus.StorageError
import org.zinniahoist.model.InstanceName
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.security.SecureRandom

internal enum class StorageAction { INSPECT, BACKUP, RESTORE }

internal class StorageCommand : ToolCommand("storage", "Inspect, back up or restore the folder of a stopped replica") {
    private val action by argument(
        ArgType.Choice<StorageAction>(),
        "action",
        "What to do",
    )
    private val folder by argument(ArgType.String, "folder", "Folder of one group, such as <data-folder>/settings")
    private val target by argument(ArgType.String, "target", "Empty folder to back up or restore to").optional()
    private val instance by option(ArgType.String, "instance", description = "Instance of the restored replica")

    override fun perform(console: Console): Either<CommandFailure, Unit> = either {
        ensure(Files.isDirectory(Path.of(folder))) { CommandFailure.invalidFile("$folder is no folder") }
        val report = run().bind()
        console.show(output, FolderSummary.serializer(), FolderSummary.of(report)) { text(report) }
    }

    private fun run(): Either<CommandFailure, FolderReport> = try {
        DiskFileStore(Path.of(folder)).use { source ->
            when (action) {
                StorageAction.INSPECT -> FolderMaintenance.inspect(source).mapLeft(::failure)

                StorageAction.BACKUP -> intoTarget { FolderMaintenance.copy(source, it) }

                StorageAction.RESTORE -> {
                    val name = instance
                        ?: return CommandFailure.usage("--instance is missing; it names the restored replica").left()
                    val identifier = ReplicaIdentifier(SecureRandom().nextLong(1, Long.MAX_VALUE))
                    intoTarget { FolderMaintenance.restore(source, it, identifier, InstanceName(name)) }
                }
            }
        }
    } catch (failure: IOException) {
        CommandFailure.refused(failure.message ?: failure.toString()).left()
    }

    private fun intoTarget(
        block: (DiskFileStore) -> Either<StorageError, FolderReport>,
    ): Either<CommandFailure, FolderReport> {
        val name = target ?: return CommandFailure.usage("the folder to write to is missing").left()
        return DiskFileStore(Path.of(name)).use { block(it).mapLeft(::failure) }
    }

    private fun failure(error: StorageError): CommandFailure = when (error) {
        is StorageError.Corrupt -> CommandFailure.invalidFile(error.message)
        is StorageError.Failed -> CommandFailure.unavailable(error.message)
        is StorageError.NotEmpty -> CommandFailure.refused(error.message)
    }

    private fun text(report: FolderReport): String = """
        replica ${report.identifier ?: "none; the folder is empty"}
        term ${report.hardState.term}
        snapshot at index ${report.snapshotIndex}, ${report.snapshotBytes} bytes
        entries ${report.firstIndex} to ${report.lastIndex} in ${report.segments} segments
        torn bytes ${report.tornBytes}
        members ${report.configuration.members.joinToString { "${it.address}" + if (it.voter) "" else " (learner)" }}
    """.trimIndent()
}

/** What a folder holds, for programs. */
@Serializable
internal data class FolderSummary(
    val replica: String?,
    val term: Long,
    val snapshotIndex: Long,
    val snapshotBytes: Long,
    val firstIndex: Long,
    val lastIndex: Long,
    val segments: Int,
    val tornBytes: Long,
    val members: List<String>,
) {
    companion object {
        fun of(report: FolderReport) = FolderSummary(
            replica = report.identifier?.toString(),
            term = report.hardState.term,
            snapshotIndex = report.snapshotIndex,
            snapshotBytes = report.snapshotBytes,
            firstIndex = report.firstIndex,
            lastIndex = report.lastIndex,
            segments = report.segments,
            tornBytes = report.tornBytes,
            members = report.configuration.members.map { it.address.instance.value },
        )
    }
}
