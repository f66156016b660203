package org.zinniahoist.state.coordination

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.zinniahoist.model.BranchName
import org.zinniahoist.model.FencingToken
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Revision
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.settings.BranchChange
import org.zinniahoist.settings.BranchEdit
import org.zinniahoist.settings.EditConflict
import org.zinniahoist.settings.EditIdentifier
import org.zinniahoist.settings.OfficeName
import org.zinniahoist.settings.OperatorName
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class CoordinationStateMachineTest {
    private val machine = CoordinationStateMachine()
    private val office = OfficeName("praha")
    private val root = BranchName("root")
    private var index = 0L

    private fun edit(
        identifier: String,
        expected: Long,
        change: BranchChange,
        at: Long = 0,
        on: CoordinationStateMachine = machine,
    ): EditResult {
        val edit =
            BranchEdit(EditIdentifier(identifier), office, OperatorName("eva"), root, Revision(expected), change)
        return (on.perform(++index, at, CoordinationCommand.Edit(edit)) as CoordinationAnswer.Edited).result
    }

    private fun create() = edit("create", 0, BranchChange.Create(office))

    private fun bound(value: Int) = BranchChange.Update(set = mapOf("staleness.bound" to "$value"))

    @Nested
    inner class Edits {
        /** Guards against accepting the edits of two operators that are based on the same revision. */
        @Test
        fun `on the same revision have one winner, which the conflict identifies`() {
            create()

            expectThat(edit("first", 1, bound(2))).isEqualTo(EditResult.Accepted(Revision(2)))
            expectThat(edit("second", 1, bound(3))).isA<EditResult.Refused>().get { error }
                .isA<EditConflict.RevisionConflict>().get { winner }.isEqualTo(EditIdentifier("first"))
        }

        /** Guards against an edit that is applied twice after its answer was lost, even if the leader changed. */
        @Test
        fun `that are resubmitted get their first outcome from a replica that restored a snapshot`() {
            create()
            val first = edit("first", 1, bound(2))
            val conflict = edit("late", 1, bound(3))
            val restored = CoordinationStateMachine().also { it.restore(machine.snapshot()) }

            expectThat(edit("first", 1, bound(2), on = restored)).isEqualTo(first)
            expectThat(edit("late", 1, bound(3), on = restored)).isEqualTo(conflict)
            expectThat(restored.tree).isEqualTo(machine.tree)
        }

        @Test
        fun `with a used identifier and different content are rejected`() {
            create()
            edit("first", 1, bound(2))

            expectThat(edit("first", 2, bound(4))).isEqualTo(EditResult.IdentifierReused)
        }
    }

    @Nested
    inner class Orders {
        private val upstream = InstanceName("sampler-1")
        private val model = ModelName("drafts")

        private fun load(version: Long) = machine.perform(
            ++index,
            0,
            CoordinationCommand.IssueOrder(upstream, Order.LoadVersion(model, WeightVersion(version))),
        )

        /** Guards against an engine that receives an older order after a newer one. */
        @Test
        fun `carry increasing fencing tokens and replace earlier orders of the same kind`() {
            load(4)
            val latest = load(5) as CoordinationAnswer.Ordered

            expectThat(machine.read(CoordinationQuery.ReadOrders(upstream)))
                .isEqualTo(
                    CoordinationAnswer.Orders(
                        listOf(FencedOrder(FencingToken(index), Order.LoadVersion(model, WeightVersion(5)))),
                    ),
                )
            expectThat(latest.token).isEqualTo(FencingToken(index))
        }

        /** Guards against a withdrawn version that is still rolled out. */
        @Test
        fun `target the latest version that is not withdrawn`() {
            machine.perform(++index, 0, CoordinationCommand.PublishVersion(model, WeightVersion(1)))
            machine.perform(++index, 0, CoordinationCommand.PublishVersion(model, WeightVersion(2)))

            expectThat(machine.perform(++index, 0, CoordinationCommand.WithdrawVersion(model, WeightVersion(2))))
                .isEqualTo(CoordinationAnswer.Published(model, WeightVersion(1)))
            expectThat(machine.perform(++index, 0, CoordinationCommand.WithdrawVersion(model, WeightVersion(1))))
                .isA<CoordinationAnswer.Published>().get { target }.isNull()
        }
    }
}
