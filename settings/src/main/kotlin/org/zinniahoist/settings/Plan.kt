package org.zinniahoist.settings

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.right

/**
 * Returns the edits that transform [current] into [declared], in the order in which they must be applied.
 *
 * The order is a deterministic function of the two trees: removals, then updates, then creations. Each edit is
 * attributed to the office that owns the branch. The edits assume that each of them increments the revision by one;
 * their identifiers start with [identifierPrefix]. The errors name the edits that are rejected, for example because
 * they change a value that a branch of another office inherits.
 */
public fun plan(
    current: SettingsTree,
    declared: DeclaredTree,
    operator: OperatorName,
    identifierPrefix: String,
): Either<NonEmptyList<EditError>, List<PlannedEdit>> =
    Planner(current, declared, operator, identifierPrefix, PlanOrder.ONE_EDIT_PER_BRANCH)
        .run()
        .fold(
            { Planner(current, declared, operator, identifierPrefix, PlanOrder.SETS_BEFORE_UNSETS).run() },
            { it.right() },
        )

/** Returns the edits that restore the values of [earlier]; the restored values get new revisions. See [plan]. */
public fun planRevert(
    current: SettingsTree,
    earlier: SettingsTree,
    operator: OperatorName,
    identifierPrefix: String,
): Either<NonEmptyList<EditError>, List<PlannedEdit>> =
    plan(current, DeclaredTree.of(earlier), operator, identifierPrefix)
