package org.zinniahoist.daemon.control

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.future.await
import org.zinniahoist.consensus.Configuration
import org.zinniahoist.consensus.DiskFileStore
import org.zinniahoist.consensus.GroupFailure
import org.zinniahoist.consensus.GroupHost
import org.zinniahoist.consensus.GroupStatus
import org.zinniahoist.consensus.GroupStorage
import org.zinniahoist.consensus.Member
import org.zinniahoist.consensus.ReplicaAddress
import org.zinniahoist.consensus.ReplicaIdentifier
import org.zinniahoist.consensus.ReplicaMessage
import org.zinniahoist.consensus.ReplicaOptions
import org.zinniahoist.consensus.ReplicaTransport
import org.zinniahoist.consensus.StateMachine
import org.zinniahoist.consensus.StorageError
import org.zinniahoist.model.InstanceName
import org.zinniahoist.settings.ControlSettings
import org.zinniahoist.state.StateCodec
import org.zinniahoist.state.ledger.LedgerStateMachine
import org.zinniahoist.wire.CallKind
import org.zinniahoist.wire.ControlMessage
import org.zinniahoist.wire.ReplyStatus
import java.nio.file.Path
import java.security.SecureRandom
import kotlin.random.Random

/** The replicas of consensus groups that one control daemon runs. */
public class ControlGroups private constructor(private val hosts: Map<String, GroupHost>) : AutoCloseable {
    /** State of each group's replica on this instance. */
    public fun statuses(): Map<String, GroupStatus> = hosts.mapValues { (_, host) -> host.status }

    /** Answers a call from any daemon. */
    public suspend fun call(call: ControlMessage.ControlCall): ControlMessage.ControlReply {
        val host = hosts[call.group]
            ?: return reply(call, ReplyStatus.UNAVAILABLE, "no replica of group ${call.group} here".encodeToByteArray())
        val answer = when (call.kind) {
            CallKind.COMMAND -> host.propose(call.content)
            CallKind.QUERY -> host.query(call.content)
        }.await()
        return answer.fold({ refusal(call, it) }, { reply(call, ReplyStatus.ANSWERED, it) })
    }

    /** Hands a message of another replica to its group. */
    public fun receive(traffic: ControlMessage.ReplicaTraffic) {
        try {
            hosts[traffic.group]?.receive(StateCodec.decode<ReplicaMessage>(traffic.content))
        } catch (fault: IllegalArgumentException) {
            logger.warn { "event=replica-message-damaged group=${traffic.group} detail=\"${fault.message}\"" }
        }
    }

    override fun close(): Unit = hosts.values.forEach(GroupHost::close)

    private fun refusal(call: ControlMessage.ControlCall, failure: GroupFailure): ControlMessage.ControlReply =
        when (failure) {
            is GroupFailure.NotLeader -> reply(call, ReplyStatus.NOT_LEADER, leader = failure.hint)
            is GroupFailure.Unavailable -> reply(call, ReplyStatus.UNAVAILABLE, failure.reason.encodeToByteArray())
            is GroupFailure.OutcomeUnknown ->
                reply(call, ReplyStatus.OUTCOME_UNKNOWN, failure.reason.encodeToByteArray())
        }

    private fun reply(
        call: ControlMessage.ControlCall,
        status: ReplyStatus,
        content: ByteArray = ByteArray(0),
        leader: InstanceName? = null,
    ) = ControlMessage.ControlReply(call.identifier, status, content, leader)

    public companion object {
        private val logger = KotlinLogging.logger {}

        /** Opens the groups that [instance] is a member of, with their files under [folder]. */
        public fun open(
            instance: InstanceName,
            settings: ControlSettings,
            folder: Path,
            coordination: StateMachine,
            transport: (group: String) -> ReplicaTransport,
            random: Random = Random.Default,
        ): Either<StorageError, ControlGroups> {
            val hosts = LinkedHashMap<String, GroupHost>()
            for ((group, members) in membersOf(settings).filterValues { instance in it }) {
                val opened = openStorage(folder, group).getOrElse { error ->
                    hosts.values.forEach(GroupHost::close)
                    return error.left()
                }
                val machine = if (group == GroupName.SETTINGS) coordination else LedgerStateMachine()
                val options = optionsOf(settings, members)
                hosts[group] =
                    GroupHost(
                        group,
                        instance,
                        machine,
                        opened,
                        transport(group),
                        options,
                        random = Random(random.nextLong()),
                    )
            }
            return ControlGroups(hosts).right()
        }

        /**
         * Creates the first replica of each group that [instance] is a member of.
         *
         * It is done once in the life of a deployment, on one instance. The other members join when they start with
         * an empty folder.
         */
        public fun bootstrap(
            instance: InstanceName,
            settings: ControlSettings,
            folder: Path,
            timeMilliseconds: Long,
        ): Either<StorageError, Unit> =
            membersOf(settings).filterValues { instance in it }.keys.fold(Unit.right() as Either<StorageError, Unit>) {
                    result,
                    group,
                ->
                result.flatMap {
                    val identifier = freshIdentifier()
                    val first = Member(ReplicaAddress(identifier, instance), voter = true)
                    DiskFileStore(folder.resolve(group)).use { files ->
                        GroupStorage.bootstrap(files, identifier, Configuration(listOf(first)), timeMilliseconds)
                    }
                }
            }

        private fun openStorage(folder: Path, group: String) =
            GroupStorage.open(DiskFileStore(folder.resolve(group)), freshIdentifier())

        private fun membersOf(settings: ControlSettings): Map<String, Set<InstanceName>> =
            mapOf(GroupName.SETTINGS to settings.settingsMembers) +
                settings.ledgerMembers.mapKeys { (region, _) -> GroupName.ledger(region) }

        private fun optionsOf(settings: ControlSettings, members: Set<InstanceName>) = ReplicaOptions(
            heartbeatInterval = settings.heartbeatInterval,
            electionTimeout = settings.electionTimeout,
            snapshotInterval = settings.snapshotEntries,
            memberInstances = members,
        )

        private fun freshIdentifier() = ReplicaIdentifier(SecureRandom().nextLong(1, Long.MAX_VALUE))

        private inline fun <T> Either<StorageError, T>.getOrElse(default: (StorageError) -> T): T =
            fold({ default(it) }, { it })
    }
}
