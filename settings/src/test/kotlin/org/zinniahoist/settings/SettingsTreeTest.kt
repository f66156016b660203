package org.zinniahoist.settings

import arrow.core.getOrElse
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.zinniahoist.model.BranchName
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Revision
import org.zinniahoist.model.TrainerName
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

private val TRAINER =
    arrayOf(
        "model.m.fan-out" to "3",
        "trainer.t.model" to "m",
        "trainer.t.home-region" to "cz",
        "staleness.bound" to "4",
    )

class SettingsTreeTest {
    private fun setError(office: OfficeName, branch: String, vararg set: Pair<String, String>) =
        TWO_OFFICES.set(office, branch, *set).leftOrNull()?.message

    private fun changeError(office: OfficeName, branch: String, change: BranchChange) =
        TWO_OFFICES.applyChange(office, branch, change).leftOrNull()?.message

    @Nested
    inner class `An effective value` {
        @Test
        fun `carries the branch and revision that set it`() {
            val values = TWO_OFFICES.effective(BranchName("root/a/x")).orEmpty()
            expectThat(values["retry.attempts"]).isEqualTo(EffectiveValue("2", BranchName("root"), Revision(1)))
            expectThat(values["routing.choices"]).isEqualTo(EffectiveValue("4", BranchName("root/a/x"), Revision(3)))
            expectThat(values["retry.hedge"]).isEqualTo(EffectiveValue("false", null, Revision.NONE))
            expectThat(TWO_OFFICES.effective(BranchName("root/none"))).isNull()
        }

        @Test
        fun `is inherited again once it is unset, and has a canonical text`() {
            val set = TWO_OFFICES.set(ALPHA, "root/a/x", "retry.attempts" to "7", "retry.hedge-delay" to "60000ms")
            val tree = set.getOrElse { error(it.message) }
            expectThat(tree.values("root/a/x")["retry.hedge-delay"]).isEqualTo("1m")
            val unset = tree.applyChange(ALPHA, "root/a/x", BranchChange.Update(unset = setOf("retry.attempts")))
            expectThat(unset.getOrNull()?.values("root/a/x")?.get("retry.attempts")).isEqualTo("2")
        }

        @Test
        fun `has typed defaults equal to those of the schema`() {
            expectThat(EffectiveSettings.of(withDefaults(emptyMap()))).isEqualTo(EffectiveSettings())
        }

        @Test
        fun `yields contracts that fall back to values of the branch`() {
            val tree = TWO_OFFICES.set(ALPHA, "root/a", *TRAINER).getOrElse { error(it.message) }
            val settings = checkNotNull(tree.effectiveSettings(BranchName("root/a/x")))
            expectThat(settings.trainers[TrainerName("t")]?.contract?.stalenessBound).isEqualTo(4)
            expectThat(settings.models[ModelName("m")]).isEqualTo(ModelSettings(fanOut = 3))
        }
    }

    @Nested
    inner class `A rejected edit` {
        @Test
        fun `reports all invalid keys at once`() {
            expectThat(setError(ALPHA, "root/a", "retry.atempts" to "2", "retry.attempts" to "99")).isEqualTo(
                "branch root/a: unknown key 'retry.atempts'; did you mean 'retry.attempts'?\n" +
                    "branch root/a: 'retry.attempts' has value '99'; allowed: a whole number from 1 to 10",
            )
            val both = BranchChange.Update(mapOf("retry.hedge" to "true"), setOf("retry.hedge"))
            expectThat(changeError(ALPHA, "root/a", both))
                .isEqualTo("branch root/a: 'retry.hedge' is both set and unset; allowed: one of them")
            expectThat(setError(ALPHA, "root/a", "trainer.Big.weight" to "2")).isEqualTo(
                "branch root/a: unknown key 'trainer.Big.weight'",
            )
        }

        @Test
        fun `reports an inconsistency in a descendant branch once`() {
            val own = setError(ALPHA, "root/a", "admission.concurrency-minimum" to "600")
            expectThat(own).isEqualTo(
                "branch root/a: 'admission.concurrency-minimum' in force is '600'; " +
                    "allowed: at most admission.concurrency-maximum: 512",
            )
            expectThat(setError(ALPHA, "root/a", "trainer.t.model" to "m", "trainer.t.home-region" to "cz")).isEqualTo(
                "branch root/a: 'trainer.t.model' in force is 'm'; allowed: a declared model: none",
            )
            expectThat(setError(ALPHA, "root/a", "caller.c.concurrency" to "2")).isEqualTo(
                "branch root/a: 'caller.c.home-region' is missing; allowed: ${KeyType.Name.allowed}",
            )
            val token = "a".repeat(64)
            val shared = arrayOf(
                "caller.c.home-region" to "cz",
                "caller.c.token-hash" to token,
                "trainer.t.token-hash" to token,
            )
            expectThat(setError(ALPHA, "root/a/x", *TRAINER, *shared)).isEqualTo(
                "branch root/a/x: 'trainer.t.token-hash' in force is '$token'; " +
                    "allowed: another token than caller.c.token-hash",
            )
            val low = TWO_OFFICES.set(ALPHA, "root/a/x", "admission.concurrency" to "10").getOrElse {
                error(it.message)
            }
            expectThat(low.set(ALPHA, "root/a", "admission.concurrency-minimum" to "20").leftOrNull()?.branch)
                .isEqualTo(BranchName("root/a/x"))
        }

        @Test
        fun `reports inconsistent budgets and shares`() {
            expectThat(setError(ALPHA, "root/a", "limits.maximum-budget" to "10s")).isEqualTo(
                "branch root/a: 'limits.default-budget' in force is '1m'; allowed: at most limits.maximum-budget: 10s",
            )
            expectThat(setError(ALPHA, "root/a", "caller.c.home-region" to "cz", "caller.c.budget" to "30m")).isEqualTo(
                "branch root/a: 'caller.c.budget' in force is '30m'; allowed: at most limits.maximum-budget: 17m",
            )
            expectThat(setError(ALPHA, "root/a", "model.m.rollout-wave" to "0.75")).isEqualTo(
                "branch root/a: 'model.m.rollout-wave' in force is '0.75'; " +
                    "allowed: together with model.m.serving-share (0.5) at most 1.0",
            )
        }

        @Test
        fun `reports the office that owns the branch`() {
            expectThat(setError(BETA, "root/a/x", "retry.attempts" to "1"))
                .isEqualTo("branch root/a/x belongs to office alpha; office beta can't change it")
            expectThat(changeError(BETA, "root/a/new", BranchChange.Create()))
                .isEqualTo("branch root/a belongs to office alpha; office beta can't change it")
            expectThat(setError(SHARED, "root", "retry.attempts" to "1")).isEqualTo(
                "editing root changes 'retry.attempts' of root/a from 2 to 1, which belongs to office alpha; " +
                    "allowed: after office alpha sets 'retry.attempts' itself\n" +
                    "editing root changes 'retry.attempts' of root/a/x from 2 to 1, which belongs to office alpha; " +
                    "allowed: after office alpha sets 'retry.attempts' itself",
            )
        }

        @Test
        fun `reports an invalid or unknown branch`() {
            expectThat(changeError(SHARED, "root/aa", BranchChange.Remove))
                .isEqualTo("branch root/aa does not exist; did you mean 'root/a'?")
            expectThat(changeError(ALPHA, "root/a", BranchChange.Remove))
                .isEqualTo("branch root/a can't be removed; root/a/x inherits from it")
            expectThat(changeError(ALPHA, "root/a/X", BranchChange.Create()))
                .isEqualTo("branch 'root/a/X' has an invalid name; allowed: $BRANCH_NAME_FORMAT")
            expectThat(changeError(ALPHA, "root/a/x", BranchChange.Create()))
                .isEqualTo("branch root/a/x exists with revision 3; its last edit is e3 of operator alpha-operator")
            expectThat(SettingsTree.EMPTY.applyChange(ALPHA, "root", BranchChange.Create()).leftOrNull()?.message)
                .isEqualTo("branch root: 'office' is missing; allowed: ${KeyType.Name.allowed}")
            val edit = TWO_OFFICES.edit(ALPHA, "root/a", BranchChange.Update())
            expectThat(TWO_OFFICES.apply(edit, Revision(5)).leftOrNull()?.message)
                .isEqualTo("revision 5 of the edit is not above revision 5 of the tree")
        }

        @Test
        fun `reports the conflicting edit that was applied first`() {
            val edit = TWO_OFFICES.edit(ALPHA, "root/a", BranchChange.Update(mapOf("retry.attempts" to "3")))
            val first = TWO_OFFICES.applyNext(edit.copy(identifier = EditIdentifier("first"))).getOrElse {
                error(it.message)
            }
            val refusal = first.applyNext(edit.copy(identifier = EditIdentifier("second"))).leftOrNull()
            expectThat(refusal).isA<EditConflict.RevisionConflict>()
            expectThat(refusal?.message)
                .isEqualTo("branch root/a has revision 6, not 2; edit first of operator alpha-operator came first")
        }
    }

    @OptIn(ExperimentalSerializationApi::class)
    @Nested
    inner class `On the wire` {
        @Test
        fun `trees, edits, errors and typed settings round-trip through CBOR`() {
            expectThat(
                Cbor.decodeFromByteArray<SettingsTree>(Cbor.encodeToByteArray(TWO_OFFICES)),
            ).isEqualTo(TWO_OFFICES)
            val edit = TWO_OFFICES.edit(ALPHA, "root/a", BranchChange.Update(mapOf("k" to "v")))
            expectThat(Cbor.decodeFromByteArray<BranchEdit>(Cbor.encodeToByteArray(edit))).isEqualTo(edit)
            val refusal: EditError = checkNotNull(TWO_OFFICES.applyNext(edit).leftOrNull())
            expectThat(Cbor.decodeFromByteArray<EditError>(Cbor.encodeToByteArray(refusal))).isEqualTo(refusal)
            val settings = checkNotNull(TWO_OFFICES.effectiveSettings(BranchName("root/a")))
            expectThat(
                Cbor.decodeFromByteArray<EffectiveSettings>(Cbor.encodeToByteArray(settings)),
            ).isEqualTo(settings)
            val change = delta(SettingsTree.EMPTY, TWO_OFFICES)
            expectThat(Cbor.decodeFromByteArray<TreeDelta>(Cbor.encodeToByteArray(change))).isEqualTo(change)
        }

        @Test
        fun `a delta that is outdated, has another base or is corrupted is rejected`() {
            val new = TWO_OFFICES.set(ALPHA, "root/a", "retry.hedge" to "true").getOrElse { error(it.message) }
            val change = delta(TWO_OFFICES, new)
            expectThat(change.changed.size).isEqualTo(1)
            expectThat(applyDelta(new, change).leftOrNull()).isEqualTo(DeltaError.NotLater(Revision(6), Revision(6)))
            expectThat(applyDelta(new, delta(new, TWO_OFFICES)).leftOrNull()).isA<DeltaError.NotLater>()
            expectThat(applyDelta(SettingsTree.EMPTY, change).leftOrNull()).isA<DeltaError.OtherBase>()
            expectThat(applyDelta(TWO_OFFICES, change.copy(changed = emptyList())).leftOrNull())
                .isA<DeltaError.OtherResult>()
        }
    }
}
