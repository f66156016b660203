package org.zinniahoist.policy.routes

import org.zinniahoist.policy.routes.ConfigurationPart.OfRoute
import org.zinniahoist.policy.routes.ConfigurationPart.OfService
import org.zinniahoist.policy.routes.ConfigurationPart.OfWorkspace

/** Compares two configurations. Keys are counted and never named. */
public object ConfigurationComparison {
    /** Returns what [next] adds to [present], removes from it and changes. */
    public fun changes(present: ServiceConfiguration, next: ServiceConfiguration): List<ConfigurationChange> =
        changes(present.routes, next.routes, { OfRoute(it.name) }, ::differences) +
            changes(present.services, next.services, { OfService(it.name) }, ::differences) +
            changes(present.workspaces.orEmpty(), next.workspaces.orEmpty(), { OfWorkspace(it.name) }, ::differences) +
            changes(
                listOfNotNull(present.limits),
                listOfNotNull(next.limits),
                { ConfigurationPart.Limits },
                ::differences,
            )

    private fun <T> changes(
        present: List<T>,
        next: List<T>,
        partOf: (T) -> ConfigurationPart,
        differences: (T, T) -> List<String>,
    ): List<ConfigurationChange> {
        val before = present.associateBy(partOf)
        val after = next.associateBy(partOf)
        return (before.keys + after.keys).mapNotNull { part ->
            val old = before[part]
            val new = after[part]
            when {
                old == null -> ConfigurationChange(ChangeKind.ADDED, part)
                new == null -> ConfigurationChange(ChangeKind.REMOVED, part)
                else -> differences(old, new).ifEmpty { null }?.let {
                    ConfigurationChange(ChangeKind.CHANGED, part, it)
                }
            }
        }
    }

    private fun differences(before: Route, after: Route): List<String> = listOfNotNull(
        difference("host", before.host, after.host),
        difference("prefix", before.pathPrefix, after.pathPrefix),
        difference("kind", before.kind, after.kind),
        difference("timeout", before.timeout, after.timeout),
        difference("target", before.target, after.target),
        difference("priority", before.priority, after.priority),
        difference("shares", sharesText(before), sharesText(after)),
        difference("attempts", before.maximumAttempts, after.maximumAttempts),
        difference("due", before.batch?.due, after.batch?.due),
        difference("keep", before.batch?.keep, after.batch?.keep),
        difference("single version", before.batch?.singleVersion, after.batch?.singleVersion),
        difference("public", before.isPublic, after.isPublic),
    )

    private fun sharesText(route: Route): String = route.shares.joinToString("+") { "${it.service}:${it.weight}" }

    private fun differences(before: ServiceEntry, after: ServiceEntry): List<String> =
        listOfNotNull(difference("connections", before.maximumConnections, after.maximumConnections))

    private fun differences(before: Workspace, after: Workspace): List<String> = listOfNotNull(
        difference("priority", before.priority, after.priority),
        if (before.keys == after.keys) {
            null
        } else {
            "keys ${before.keys.size} -> ${after.keys.size} " +
                "(${(after.keys - before.keys).size} added, ${(before.keys - after.keys).size} removed)"
        },
    )

    private fun differences(before: ClientLimits, after: ClientLimits): List<String> = listOfNotNull(
        difference("body bytes", before.bodyBytes, after.bodyBytes),
        difference("header bytes", before.headerBytes, after.headerBytes),
    )

    private fun difference(name: String, before: Any?, after: Any?): String? =
        if (before == after) null else "$name ${before ?: "none"} -> ${after ?: "none"}"
}
