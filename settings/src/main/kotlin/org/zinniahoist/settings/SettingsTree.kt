package org.zinniahoist.settings

import arrow.core.Either
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder
import org.zinniahoist.model.BranchName
import org.zinniahoist.model.Revision

/** The immutable tree of all branches at one [revision]. Equal trees have equal revisions and branches. */
@Serializable(with = SettingsTreeSerializer::class)
public class SettingsTree internal constructor(
    /** Revision of the last accepted edit. */
    public val revision: Revision,
    /** All branches by name. */
    public val branches: PersistentMap<BranchName, Branch>,
) {
    /** Returns the office that [branch] belongs to, or null if neither it nor a branch above it names one. */
    public fun officeOf(branch: BranchName): OfficeName? =
        generateSequence(branch) { it.parent }.firstNotNullOfOrNull { branches[it]?.office }

    /** Returns the values in force in [branch] by key, or null if the branch does not exist. */
    public fun effective(branch: BranchName): Map<String, EffectiveValue>? =
        branches[branch]?.let { withDefaults(resolve(branch)) }

    /** Returns the typed settings in force in [branch], or null if the branch does not exist. */
    public fun effectiveSettings(branch: BranchName): EffectiveSettings? =
        effective(branch)?.let { EffectiveSettings.of(it) }

    /**
     * Returns the tree with [edit] applied as [revision], which has to be above the revision of this tree.
     *
     * The whole resulting tree is validated, including the keys that several branches set together.
     */
    public fun apply(edit: BranchEdit, revision: Revision): Either<EditError, SettingsTree> =
        EditApplication(this, edit, revision).run()

    /** Returns the set values in force in [branch], without defaults. */
    internal fun resolve(branch: BranchName): Map<String, EffectiveValue> {
        val path = generateSequence(branch) { it.parent }.toList().asReversed()
        return path.fold(emptyMap()) { inherited, name -> inherited + ownValues(name) }
    }

    /** Returns the set values in force in each branch, in the order of names. */
    internal fun resolveAll(): Map<BranchName, Map<String, EffectiveValue>> {
        val resolved = LinkedHashMap<BranchName, PersistentMap<String, EffectiveValue>>()
        branches.keys.sortedBy { it.value }.forEach { name ->
            val inherited = name.parent?.let { resolved[it] } ?: persistentMapOf()
            resolved[name] = inherited.putAll(ownValues(name))
        }
        return resolved
    }

    private fun ownValues(name: BranchName): Map<String, EffectiveValue> =
        branches[name]?.values.orEmpty().mapValues { (_, set) -> EffectiveValue(set.text, name, set.revision) }

    override fun equals(other: Any?): Boolean =
        other is SettingsTree && other.revision == revision && other.branches == branches

    override fun hashCode(): Int = 31 * revision.hashCode() + branches.hashCode()

    override fun toString(): String = "SettingsTree(revision=$revision, branches=${branches.values})"

    public companion object {
        /** The tree without branches. */
        public val EMPTY: SettingsTree = SettingsTree(Revision.NONE, persistentMapOf())
    }
}

/** Returns [resolved] and the defaults of all other keys; a family has defaults for each name that a key is set for. */
internal fun withDefaults(resolved: Map<String, EffectiveValue>): Map<String, EffectiveValue> {
    val result = resolved.toSortedMap()
    val names = resolved.keys.map { it.split('.') }.filter { it.size > 2 }.map { it[0] to it[1] }.distinct()
    TreeSchema.keys.values.forEach { key ->
        val default = key.defaultText?.let { EffectiveValue(it, null, Revision.NONE) } ?: return@forEach
        if ('*' in key.name) {
            val family = key.name.substringBefore('.')
            names.filter {
                it.first == family
            }.forEach { result.putIfAbsent(key.name.replace("*", it.second), default) }
        } else {
            result.putIfAbsent(key.name, default)
        }
    }
    return result
}

/** Writes a tree as its revision and its branches in the order of names, so that equal trees have equal bytes. */
internal object SettingsTreeSerializer : KSerializer<SettingsTree> {
    @Serializable
    private class Form(
        val revision: Revision,
        val branches: List<Branch>,
    )

    override val descriptor: SerialDescriptor = Form.serializer().descriptor

    override fun serialize(encoder: Encoder, value: SettingsTree) {
        val branches = value.branches.values.sortedBy { it.name.value }
        encoder.encodeSerializableValue(Form.serializer(), Form(value.revision, branches))
    }

    override fun deserialize(decoder: Decoder): SettingsTree {
        val form = decoder.decodeSerializableValue(Form.serializer())
        return SettingsTree(form.revision, form.branches.associateBy { it.name }.toPersistentMap())
    }
}
