package org.zinniahoist.experiment.quickstart

import org.zinniahoist.daemon.control.ControlResult
import org.zinniahoist.daemon.control.GroupName
import org.zinniahoist.daemon.control.RemoteControlClient
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Region
import org.zinniahoist.model.Revision
import org.zinniahoist.settings.BranchEdit
import org.zinniahoist.settings.DeclaredTreeReader
import org.zinniahoist.settings.OperatorName
import org.zinniahoist.settings.SettingsTree
import org.zinniahoist.settings.plan
import org.zinniahoist.state.StateCodec
import org.zinniahoist.state.coordination.CoordinationAnswer
import org.zinniahoist.state.coordination.CoordinationCommand
import org.zinniahoist.state.coordination.CoordinationQuery
import org.zinniahoist.state.coordination.EditResult
import org.zinniahoist.wire.ControlMessage
import org.zinniahoist.wire.HeartbeatContent
import org.zinniahoist.wire.LinkClient
import org.zinniahoist.wire.LinkCloseCause
import org.zinniahoist.wire.LinkConnection
import org.zinniahoist.wire.LinkHandler
import org.zinniahoist.wire.LinkLimits
import org.zinniahoist.wire.LinkMessage
import org.zinniahoist.wire.Message
import kotlin.random.Random

/** Edits the settings tree and publishes versions over links to the control replicas. */
internal class QuickstartOperator(control: List<Endpoint>) :
    LinkHandler,
    AutoCloseable {
    private val clock = { Moment(System.nanoTime()) }
    private val client = RemoteControlClient(clock)
    private val hello = LinkMessage.Hello(
        LinkLimits.PROTOCOL_VERSION,
        InstanceName("quickstart"),
        Incarnation(System.nanoTime()),
        FailureDomain("outside", Region("outside")),
        emptySet(),
    )
    private val links = control.map { LinkClient(it, hello, this, { HeartbeatContent() }, clock, Random.Default) }

    init {
        links.forEach { it.start() }
    }

    /** Applies the tree in [text] and returns its revision. */
    suspend fun applyTree(text: String): Revision {
        val declared = DeclaredTreeReader.parse(mapOf("quickstart.ini" to text))
            .fold({ faults -> error(faults.joinToString { it.message }) }, { it })
        val edits = plan(SettingsTree.EMPTY, declared, OperatorName("quickstart"), "quickstart")
            .fold({ errors -> error(errors.joinToString { it.message }) }, { it })
        return edits.maxOf { planned ->
            val answer = command(CoordinationCommand.Edit(planned.edit)) as CoordinationAnswer.Edited
            val result = answer.result
            check(result is EditResult.Accepted) { "edit refused: $result" }
            result.revision
        }
    }

    override fun onOpen(link: LinkConnection): Unit = client.onOpen(link)

    override suspend fun onMessage(link: LinkConnection, message: Message) {
        if (message is ControlMessage.ControlReply) client.onReply(message)
    }

    override fun onClosed(link: LinkConnection, cause: LinkCloseCause): Unit = client.onClosed(link)

    override fun close(): Unit = links.forEach { it.close() }

    /** Submits [edit] and returns its outcome, or null if it is unknown or the group can't be reached. */
    suspend fun edit(edit: BranchEdit): EditResult? {
        val command = StateCodec.encode<CoordinationCommand>(CoordinationCommand.Edit(edit))
        val result = client.command(GroupName.SETTINGS, command) as? ControlResult.Answered ?: return null
        return (StateCodec.decode<CoordinationAnswer>(result.content) as CoordinationAnswer.Edited).result
    }

    /** Returns the settings tree by a linearizable read, or null if the group can't be reached. */
    suspend fun tree(): SettingsTree? {
        val query = StateCodec.encode<CoordinationQuery>(CoordinationQuery.ReadTree)
        val result = client.query(GroupName.SETTINGS, query) as? ControlResult.Answered ?: return null
        return (StateCodec.decode<CoordinationAnswer>(result.content) as CoordinationAnswer.Tree).tree
    }

    private suspend fun command(command: CoordinationCommand): CoordinationAnswer {
        val result = client.command(GroupName.SETTINGS, StateCodec.encode(command))
        check(result is ControlResult.Answered) { "the settings group gave no answer: $result" }
        return StateCodec.decode(result.content)
    }
}
