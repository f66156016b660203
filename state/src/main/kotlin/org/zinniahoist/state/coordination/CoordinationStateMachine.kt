package org.zinniahoist.state.coordination

import kotlinx.serialization.Serializable
import org.zinniahoist.consensus.StateMachine
import org.zinniahoist.model.FencingToken
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.settings.SettingsTree
import org.zinniahoist.state.StateCodec
import java.util.TreeMap

/**
 * Replicated state machine of the `settings` consensus group: settings tree, weight versions, orders and drains.
 *
 * @param onTreeChanged called on the replica's thread with each newly committed or restored tree.
 * @param onDrainingChanged called on the replica's thread with the set of draining instances after each change.
 */
public class CoordinationStateMachine(
    private val onTreeChanged: (SettingsTree) -> Unit = {},
    private val onDrainingChanged: (Set<InstanceName>) -> Unit = {},
) : StateMachine {
    private val edits = EditLedger()
    private val published = HashMap<ModelName, Set<WeightVersion>>()
    private val withdrawn = HashMap<ModelName, Set<WeightVersion>>()
    private val orders = HashMap<InstanceName, TreeMap<String, FencedOrder>>()
    private val draining = HashSet<InstanceName>()

    /** The settings tree after the last accepted edit. */
    public val tree: SettingsTree get() = edits.tree

    override fun apply(index: Long, timeMilliseconds: Long, command: ByteArray): ByteArray {
        val answer = runCatching { StateCodec.decode<CoordinationCommand>(command) }
            .fold({ perform(index, timeMilliseconds, it) }, { CoordinationAnswer.Malformed(it.message.orEmpty()) })
        return StateCodec.encode<CoordinationAnswer>(answer)
    }

    override fun query(timeMilliseconds: Long, query: ByteArray): ByteArray {
        val answer = runCatching { StateCodec.decode<CoordinationQuery>(query) }
            .fold(::read) { CoordinationAnswer.Malformed(it.message.orEmpty()) }
        return StateCodec.encode<CoordinationAnswer>(answer)
    }

    override fun snapshot(): ByteArray = StateCodec.encode(
        CoordinationState(
            edits = edits.capture(),
            published = published,
            withdrawn = withdrawn,
            orders = orders.mapValues { (_, byKey) -> byKey.toMap() },
            draining = draining,
        ),
    )

    override fun restore(snapshot: ByteArray) {
        val state = StateCodec.decode<CoordinationState>(snapshot)
        edits.restore(state.edits)
        published.clear()
        published.putAll(state.published)
        withdrawn.clear()
        withdrawn.putAll(state.withdrawn)
        orders.clear()
        state.orders.forEach { (upstream, byKey) -> orders[upstream] = TreeMap(byKey) }
        draining.clear()
        draining.addAll(state.draining)
        onTreeChanged(edits.tree)
        onDrainingChanged(draining.toSet())
    }

    /** Applies [command] from position [index] of the log; the token of a new order equals the index. */
    public fun perform(index: Long, timeMilliseconds: Long, command: CoordinationCommand): CoordinationAnswer =
        when (command) {
            is CoordinationCommand.Edit -> edit(command, timeMilliseconds)

            is CoordinationCommand.PublishVersion -> {
                published.merge(command.model, setOf(command.version)) { known, added -> known + added }
                CoordinationAnswer.Published(command.model, target(command.model))
            }

            is CoordinationCommand.WithdrawVersion -> {
                withdrawn.merge(command.model, setOf(command.version)) { known, added -> known + added }
                CoordinationAnswer.Published(command.model, target(command.model))
            }

            is CoordinationCommand.IssueOrder -> {
                val token = FencingToken(index)
                orders.getOrPut(command.upstream) { TreeMap() }[key(command.order)] = FencedOrder(token, command.order)
                CoordinationAnswer.Ordered(token)
            }

            is CoordinationCommand.SetDraining -> {
                val changed =
                    if (command.draining) draining.add(command.instance) else draining.remove(command.instance)
                if (changed) onDrainingChanged(draining.toSet())
                CoordinationAnswer.Done(changed)
            }
        }

    /** Answers [query] from the current state. */
    public fun read(query: CoordinationQuery): CoordinationAnswer = when (query) {
        CoordinationQuery.ReadTree -> CoordinationAnswer.Tree(edits.tree)

        is CoordinationQuery.ReadOrders -> CoordinationAnswer.Orders(
            orders[query.upstream]?.values.orEmpty().sortedBy(FencedOrder::token),
        )

        CoordinationQuery.ReadOverview -> CoordinationAnswer.Overview(
            revision = edits.tree.revision,
            targets = published.keys.mapNotNull { model -> target(model)?.let { model to it } }.toMap(),
            draining = draining.toSet(),
        )

        is CoordinationQuery.ReadHistory -> CoordinationAnswer.History(
            edits.historyAfter(query.afterRevision, query.limit),
        )
    }

    private fun edit(command: CoordinationCommand.Edit, timeMilliseconds: Long): CoordinationAnswer {
        val before = edits.tree.revision
        val result = edits.submit(command.edit, timeMilliseconds)
        if (edits.tree.revision != before) onTreeChanged(edits.tree)
        return CoordinationAnswer.Edited(result)
    }

    private fun target(model: ModelName): WeightVersion? =
        (published[model].orEmpty() - withdrawn[model].orEmpty()).maxOrNull()

    /** Returns the key under which [order] is stored; a later order replaces an earlier one with the same key. */
    private fun key(order: Order): String = when (order) {
        is Order.LoadVersion -> "version:${order.model}"
        is Order.LoadAdapter -> "adapter:${order.model}:${order.adapter}"
        is Order.ChangeRole -> "role"
    }
}

@Serializable
internal data class CoordinationState(
    val edits: EditState,
    val published: Map<ModelName, Set<WeightVersion>>,
    val withdrawn: Map<ModelName, Set<WeightVersion>>,
    val orders: Map<InstanceName, Map<String, FencedOrder>>,
    val draining: Set<InstanceName>,
)
