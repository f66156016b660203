package org.zinniahoist.daemon.control

import org.zinniahoist.daemon.configuration.ActiveSettings
import org.zinniahoist.daemon.timeline.EventRecorder
import org.zinniahoist.daemon.timeline.record
import org.zinniahoist.model.BranchName
import org.zinniahoist.model.Revision
import org.zinniahoist.settings.EffectiveSettings
import org.zinniahoist.settings.SettingsTree
import org.zinniahoist.settings.TreeDelta
import org.zinniahoist.settings.applyDelta
import org.zinniahoist.state.StateCodec
import org.zinniahoist.state.coordination.CoordinationAnswer
import org.zinniahoist.state.coordination.CoordinationQuery
import org.zinniahoist.wire.ControlMessage

/**
 * Keeps the settings of a daemon's branch in force.
 *
 * The first tree comes from a linearizable read, so that a daemon that restarts acts on no revision that is older than
 * one acted on before. Updates from any replica then only move it forward.
 */
public class SettingsFollower(
    private val branch: BranchName,
    private val control: ControlClient,
    private val events: EventRecorder,
) : ActiveSettings {
    @Volatile
    private var inForce: InForce? = null

    override val revision: Revision get() = inForce?.tree?.revision ?: Revision.NONE

    override val settings: EffectiveSettings? get() = inForce?.settings

    /** The whole tree in force, or null before the first read. */
    public val tree: SettingsTree? get() = inForce?.tree

    /** Reads the tree from the `settings` group. Returns false if the group gave no answer. */
    public suspend fun readFromGroup(): Boolean {
        val result = control.query(GroupName.SETTINGS, StateCodec.encode<CoordinationQuery>(CoordinationQuery.ReadTree))
        if (result !is ControlResult.Answered) return false
        val answer = StateCodec.decode<CoordinationAnswer>(result.content) as? CoordinationAnswer.Tree ?: return false
        adopt(answer.tree)
        return true
    }

    /** Applies an update. Returns false if it does not fit, in which case the whole tree is to be read again. */
    public fun onUpdate(update: ControlMessage.SettingsUpdate): Boolean {
        val current = inForce?.tree ?: return false
        if (update.revision <= current.revision) return true
        if (!update.isDelta) {
            adopt(StateCodec.decode<SettingsTree>(update.content))
            return true
        }
        return applyDelta(current, StateCodec.decode<TreeDelta>(update.content)).fold({ false }, {
            adopt(it)
            true
        })
    }

    @Synchronized
    private fun adopt(tree: SettingsTree) {
        if (inForce != null && tree.revision <= revision) return
        inForce = InForce(tree, tree.effectiveSettings(branch) ?: EffectiveSettings())
        events.record("settings-in-force", "revision" to tree.revision.value, "branch" to branch.value)
    }

    private class InForce(
        val tree: SettingsTree,
        val settings: EffectiveSettings,
    )
}
