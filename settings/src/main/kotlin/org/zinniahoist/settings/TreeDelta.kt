package org.zinniahoist.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.dynatrace.hash4j.hashing.Hashing
import kotlinx.serialization.Serializable
import org.zinniahoist.model.BranchName
import org.zinniahoist.model.Revision

/** Hash of a tree in hexadecimal digits. It is not cryptographic: it detects corruption, not tampering. */
@JvmInline
@Serializable
public value class TreeDigest(public val value: String) {
    override fun toString(): String = value
}

/** Difference between two revisions of the settings tree: the changed and removed branches. */
@Serializable
public data class TreeDelta(
    public val from: Revision,
    public val fromDigest: TreeDigest,
    public val to: Revision,
    public val toDigest: TreeDigest,
    public val changed: List<Branch>,
    public val removed: List<BranchName>,
)

/** Reason why a delta cannot be applied to a tree. */
@Serializable
public sealed interface DeltaError {
    public val message: String

    /** The target revision of the delta is not newer than the current revision. */
    @Serializable
    public data class NotLater(
        public val current: Revision,
        public val proposed: Revision,
    ) : DeltaError {
        override val message: String
            get() = "target revision $proposed of the delta is not newer than revision $current"
    }

    /** The base revision or digest of the delta does not match the current tree. */
    @Serializable
    public data class OtherBase(
        public val expected: Revision,
        public val found: Revision,
    ) : DeltaError {
        override val message: String
            get() = "base of the delta does not match the tree: expected revision $expected, found $found"
    }

    /** The digest of the resulting tree does not match the digest in the delta. */
    @Serializable
    public data class OtherResult(
        public val expected: TreeDigest,
        public val found: TreeDigest,
    ) : DeltaError {
        override val message: String
            get() = "digest mismatch after applying the delta: expected $expected, found $found"
    }
}

/** Returns the digest of [tree] over the revisions, offices, last edits and values of all branches. */
public fun digest(tree: SettingsTree): TreeDigest {
    val stream = Hashing.murmur3_128().hashStream()
    stream.putLong(tree.revision.value).putInt(tree.branches.size)
    tree.branches.values.sortedBy { it.name.value }.forEach { branch ->
        stream.putString(branch.name.value).putString(branch.office?.value.orEmpty()).putLong(branch.revision.value)
        stream.putString(branch.edit.value).putString(branch.operator.value).putInt(branch.values.size)
        branch.values.toSortedMap().forEach { (key, set) ->
            stream.putString(key).putString(set.text).putLong(set.revision.value)
        }
    }
    return TreeDigest(stream.get().toByteArray().joinToString("") { "%02x".format(it) })
}

/** Returns the delta that transforms [old] into [new]. */
public fun delta(old: SettingsTree, new: SettingsTree): TreeDelta = TreeDelta(
    from = old.revision,
    fromDigest = digest(old),
    to = new.revision,
    toDigest = digest(new),
    changed = new.branches.values.filter { old.branches[it.name] != it }.sortedBy { it.name.value },
    removed = old.branches.keys.filter { it !in new.branches }.sortedBy { it.value },
)

/** Returns [tree] with [delta] applied, or an error if the delta is outdated, has another base or is corrupted. */
public fun applyDelta(tree: SettingsTree, delta: TreeDelta): Either<DeltaError, SettingsTree> {
    if (delta.to <= tree.revision) return DeltaError.NotLater(tree.revision, delta.to).left()
    if (delta.from != tree.revision || delta.fromDigest != digest(tree)) {
        return DeltaError.OtherBase(delta.from, tree.revision).left()
    }
    val branches =
        tree.branches.builder().apply {
            delta.removed.forEach { remove(it) }
            delta.changed.forEach { put(it.name, it) }
        }
    val result = SettingsTree(delta.to, branches.build())
    val found = digest(result)
    return if (found == delta.toDigest) result.right() else DeltaError.OtherResult(delta.toDigest, found).left()
}
