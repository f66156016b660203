package org.zinniahoist.settings

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.right

/**
 * Returns the edits that turn [current] into [declared], in the order in which they have to be applied.
 *
 * The order depends on the trees alone: branches are removed, then changed, then created. Each edit is made in the name
 * of the office that has to make it. The edits expect that revisions are given one by one; identifiers start with
 * [identifierPrefix]. The errors say which edits can't be made, for example because they change what another office
 * inherits.
 */
public fun plan(
    current: SettingsTree,
    declared: DeclaredTree,
    operator: OperatorName,
    identifierPrefix: String,
): Either<NonEmptyList<EditError>, List<PlannedEdit>> =
    Planner(current, declared, operator, identifierPrefix, PlanOrder.WHOLE_EDITS)
        .run()
        .fold({ Planner(current, declared, operator, identifierPrefix, PlanOrder.SETS_FIRST).run() }, { it.right() })

/** Returns the edits that turn [current] back into [earlier]; values get new revisions. See [plan]. */
public fun planRevert(
    current: SettingsTree,
    earlier: SettingsTree,
    operator: OperatorName,
    identifierPrefix: String,
): Either<NonEmptyList<EditError>, List<PlannedEdit>> =
    plan(current, DeclaredTree.of(earlier), operator, identifierPrefix)
