package org.zinniahoist.daemon.control

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import org.zinniahoist.wire.CallKind
import org.zinniahoist.wire.ControlMessage
import org.zinniahoist.wire.LinkConnection
import org.zinniahoist.wire.ReplyStatus
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Calls consensus groups over links to control replicas.
 *
 * A call goes to the replica that last led its group and moves on while replicas answer that the call had no effect.
 * A command whose answer is lost is not repeated here, because only its sender knows whether a repeat is harmless.
 */
public class RemoteControlClient(private val clock: () -> Moment) : ControlClient {
    private val links = ConcurrentHashMap<InstanceName, LinkConnection>()
    private val leaders = ConcurrentHashMap<String, InstanceName>()
    private val pending = ConcurrentHashMap<Long, PendingCall>()
    private val nextIdentifier = AtomicLong()

    override suspend fun command(group: String, command: ByteArray, timeout: Duration): ControlResult =
        call(group, CallKind.COMMAND, command, timeout)

    override suspend fun query(group: String, query: ByteArray, timeout: Duration): ControlResult =
        call(group, CallKind.QUERY, query, timeout)

    /** Uses [link] to a control replica from now on. */
    public fun onOpen(link: LinkConnection) {
        links[link.peer.instance] = link
    }

    /** Ends the calls on a closed link: whether they had an effect is unknown. */
    public fun onClosed(link: LinkConnection) {
        links.remove(link.peer.instance, link)
        pending.values.filter { it.link === link }.forEach { it.answer.complete(null) }
    }

    /** Completes the call that [reply] answers. */
    public fun onReply(reply: ControlMessage.ControlReply) {
        pending.remove(reply.identifier)?.answer?.complete(reply)
    }

    private suspend fun call(
        group: String,
        kind: CallKind,
        content: ByteArray,
        timeout: Duration,
    ): ControlResult {
        val deadline = clock() + timeout
        var refused = emptySet<InstanceName>()
        var reason = "no link to a control replica"
        while (true) {
            val remaining = deadline - clock()
            if (!remaining.isPositive()) return ControlResult.NotApplied(reason)
            val link = chooseLink(group, refused)
            if (link == null) {
                refused = emptySet()
                delay(RETRY_DELAY)
                continue
            }
            when (val outcome = callOnce(link, group, kind, content, remaining)) {
                is CallOutcome.Result -> return outcome.result

                is CallOutcome.Refused -> {
                    reason = outcome.reason
                    refused = if (outcome.leader == null) refused + link.peer.instance else emptySet()
                    if (outcome.leader == null) leaders.remove(group) else leaders[group] = outcome.leader
                }
            }
        }
    }

    private suspend fun callOnce(
        link: LinkConnection,
        group: String,
        kind: CallKind,
        content: ByteArray,
        remaining: Duration,
    ): CallOutcome {
        val identifier = nextIdentifier.incrementAndGet()
        val call = PendingCall(link)
        pending[identifier] = call
        try {
            if (!link.send(ControlMessage.ControlCall(identifier, group, kind, content))) {
                return CallOutcome.Refused("link to ${link.peer.instance} is closed", null)
            }
            val reply = withTimeoutOrNull(remaining) { call.answer.await() }
            return reply?.let { outcomeOf(it, group, link.peer.instance) } ?: lost(kind, link)
        } finally {
            pending.remove(identifier)
        }
    }

    private fun outcomeOf(reply: ControlMessage.ControlReply, group: String, replica: InstanceName): CallOutcome {
        val reason = reply.content.decodeToString()
        return when (reply.status) {
            ReplyStatus.ANSWERED -> {
                leaders[group] = replica
                CallOutcome.Result(ControlResult.Answered(reply.content))
            }

            ReplyStatus.NOT_LEADER -> CallOutcome.Refused("no leader of group $group", reply.leader)

            ReplyStatus.UNAVAILABLE -> CallOutcome.Refused(reason, null)

            ReplyStatus.OUTCOME_UNKNOWN -> CallOutcome.Result(ControlResult.OutcomeUnknown(reason))
        }
    }

    /** A query changes nothing, so that it can be repeated on another replica. */
    private fun lost(kind: CallKind, link: LinkConnection): CallOutcome {
        val reason = "no answer from ${link.peer.instance}"
        return when (kind) {
            CallKind.COMMAND -> CallOutcome.Result(ControlResult.OutcomeUnknown(reason))
            CallKind.QUERY -> CallOutcome.Refused(reason, null)
        }
    }

    private fun chooseLink(group: String, refused: Set<InstanceName>): LinkConnection? {
        val leader = leaders[group]?.takeIf { it !in refused }?.let(links::get)
        return leader ?: links.entries.filter { it.key !in refused }.minByOrNull { it.key.value }?.value
    }

    private class PendingCall(val link: LinkConnection) {
        val answer = CompletableDeferred<ControlMessage.ControlReply?>()
    }

    private sealed interface CallOutcome {
        data class Result(val result: ControlResult) : CallOutcome

        data class Refused(
            val reason: String,
            val leader: InstanceName?,
        ) : CallOutcome
    }

    private companion object {
        /** Time between two rounds over all replicas; an election takes several times as long. */
        val RETRY_DELAY = 50.milliseconds
    }
}
