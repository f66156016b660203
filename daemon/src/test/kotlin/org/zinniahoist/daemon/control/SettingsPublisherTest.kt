package org.zinniahoist.daemon.control

import org.junit.jupiter.api.Test
import org.zinniahoist.model.BranchName
import org.zinniahoist.model.Revision
import org.zinniahoist.settings.BranchChange
import org.zinniahoist.settings.BranchEdit
import org.zinniahoist.settings.EditIdentifier
import org.zinniahoist.settings.OfficeName
import org.zinniahoist.settings.OperatorName
import org.zinniahoist.settings.SettingsTree
import org.zinniahoist.settings.TreeDelta
import org.zinniahoist.settings.applyDelta
import org.zinniahoist.state.StateCodec
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isSameInstanceAs

class SettingsPublisherTest {
    private val publisher = SettingsPublisher(retainedTrees = 2)
    private val first = edited(SettingsTree.EMPTY, BranchChange.Create(OfficeName("praha")))
    private val second = edited(first, BranchChange.Update(mapOf("staleness.bound" to "2")))
    private val third = edited(second, BranchChange.Update(mapOf("staleness.bound" to "3")))

    private fun edited(tree: SettingsTree, change: BranchChange): SettingsTree {
        val revision = Revision(tree.revision.value + 1)
        val edit = BranchEdit(
            EditIdentifier("edit-$revision"),
            OfficeName("praha"),
            OperatorName("eva"),
            BranchName("root"),
            tree.revision,
            change,
        )
        return tree.apply(edit, revision).fold({ error(it.message) }, { it })
    }

    /** Guards against a subscriber that stays on an old delta after a later edit. */
    @Test
    fun `leads a subscriber to the latest tree`() {
        publisher.onCommitted(first)
        publisher.onCommitted(second)
        publisher.updateFrom(first.revision)
        publisher.onCommitted(third)

        val update = expectThat(publisher.updateFrom(second.revision)).isNotNull().subject
        val adopted = applyDelta(second, StateCodec.decode<TreeDelta>(update.content))

        expectThat(adopted.getOrNull()).isEqualTo(third)
        expectThat(publisher.updateFrom(third.revision)).isNull()
    }

    /** Guards against a delta that is made again for each subscriber. */
    @Test
    fun `gives subscribers with the same revision the same update`() {
        publisher.onCommitted(first)
        publisher.onCommitted(second)
        val update = expectThat(publisher.updateFrom(first.revision)).isNotNull().subject

        expectThat(publisher.updateFrom(first.revision)).isSameInstanceAs(update)
    }

    /** Guards against a delta whose base is not known here. */
    @Test
    fun `sends the whole tree to a subscriber with a forgotten revision`() {
        listOf(first, second, third).forEach(publisher::onCommitted)

        val update = expectThat(publisher.updateFrom(first.revision)).isNotNull().subject

        expectThat(update.isDelta).isFalse()
        expectThat(StateCodec.decode<SettingsTree>(update.content)).isEqualTo(third)
    }
}
