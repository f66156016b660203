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

/** Immutable snapshot of all branches at one [revision]. Two trees are equal if revision and branches are equal. */
@Serializable(with = SettingsTreeSerializer::class)
public class SettingsTree internal constructor(
    /** Revision of the last accepted edit. */
    public val revision: Revision,
    /** All branches by name. */
    public val branches: PersistentMap<BranchName, Branch>,
) {
    /** Returns the office that owns [branch], or null if neither the branch nor an ancestor names an office. */
    public fun officeOf(branch: BranchName): OfficeName? =
        generateSequence(branch) { it.parent }.firstNotNullOfOrNull { branches[it]?.office }

    /** Returns the effective values of [branch] by key, or null if the branch does not exist. */
    public fun effective(branch: BranchName): Map<String, EffectiveValue>? =
        branches[branch]?.let { withDefaults(resolve(branch)) }

    /** Returns the typed effective settings of [branch], or null if the branch does not exist. */
    public fun effectiveSettings(branch: BranchName): EffectiveSettings? =
        effective(branch)?.let { EffectiveSettings.of(it) }

    /**
     * Returns the tree with [edit] applied as [revision], which must be greater than the revision of this tree.
     *
     * Validates the whole resulting tree, including constraints between keys that different branches set.
     */
    public fun apply(edit: BranchEdit, revision: Revision): Either<EditError, SettingsTree> =
        EditApplication(this, edit, revision).run()

    /** Returns the explicitly set values of [branch], own and inherited, without schema defaults. */
    internal fun resolve(branch: BranchName): Map<String, EffectiveValue> {
        val path = generateSequence(branch) { it.parent }.toList().asReversed()
        return path.fold(emptyMap()) { inherited, name -> inherited + ownValues(name) }
    }

    /** Returns the explicitly set values of each branch, own and inherited, with the branches sorted by name. */
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
        /** The empty tree at [Revision.NONE]. */
        public val EMPTY: SettingsTree = SettingsTree(Revision.NONE, persistentMapOf())
    }
}

/** Adds the schema defaults to [resolved]; wildcard keys get defaults for each name that has at least one key set. */
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

/** Serializes a tree as its revision and its branches sorted by name, so that equal trees have equal bytes. */
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
