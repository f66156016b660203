package org.zinniahoist.daemon.control

import org.zinniahoist.model.Revision
import org.zinniahoist.settings.SettingsTree
import org.zinniahoist.settings.delta
import org.zinniahoist.state.StateCodec
import org.zinniahoist.wire.ControlMessage
import java.util.TreeMap

/** Keeps the latest committed trees of a control replica, so that subscribers get deltas instead of whole trees. */
public class SettingsPublisher(private val retainedTrees: Int = DEFAULT_RETAINED_TREES) {
    private val trees = TreeMap<Long, SettingsTree>()

    /** Revision of the latest committed tree on this replica. */
    public val revision: Revision
        @Synchronized get() = latest()?.revision ?: Revision.NONE

    /** Records a committed [tree]. Trees of revisions that are known or older are ignored. */
    @Synchronized
    public fun onCommitted(tree: SettingsTree) {
        if (tree.revision.value <= (trees.lastEntry()?.key ?: 0L)) return
        trees[tree.revision.value] = tree
        if (trees.size > retainedTrees) trees.pollFirstEntry()
    }

    /** Returns what brings a subscriber from [known] to the latest tree, or null if it has it. */
    @Synchronized
    public fun updateFrom(known: Revision): ControlMessage.SettingsUpdate? {
        val latest = latest() ?: return null
        if (latest.revision <= known) return null
        val base = trees[known.value]
        return if (base == null) {
            ControlMessage.SettingsUpdate(latest.revision, isDelta = false, StateCodec.encode(latest))
        } else {
            ControlMessage.SettingsUpdate(latest.revision, isDelta = true, StateCodec.encode(delta(base, latest)))
        }
    }

    private fun latest(): SettingsTree? = trees.lastEntry()?.value

    public companion object {
        /** About six minutes of changes at 64,000 changes a day; trees share most of their branches. */
        public const val DEFAULT_RETAINED_TREES: Int = 256
    }
}
