package org.zinniahoist.policy.routes

import org.junit.jupiter.api.Test
import org.zinniahoist.model.Revision
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.WorkspaceName
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.seconds

class WorkspacesTest {
    private val route = Route(
        name = "r",
        host = "h",
        pathPrefix = "/p/",
        kind = RouteKind.REPEATABLE,
        timeout = 1.seconds,
        target = 1.seconds,
        priority = 2,
        shares = listOf(ServiceShare(ServiceName("s"), 1)),
        maximumAttempts = 1,
    )

    private fun configuration(vararg workspaces: Workspace) = ServiceConfiguration(
        Revision(1),
        listOf(route),
        listOf(ServiceEntry(ServiceName("s"), 1)),
        limits = null,
        workspaces.toList(),
    )

    /** Guards against a key that identifies two workspaces. */
    @Test
    fun `a configuration in which two workspaces share a key is invalid`() {
        val shared = configuration(Workspace(NORTH, setOf("a", "b")), Workspace(SOUTH, setOf("c", "b")))
        expectThat(faultOf(shared)).isEqualTo(ConfigurationFault.SharedKey(NORTH, SOUTH))
        expectThat(faultOf(configuration(Workspace(NORTH, setOf("a")), Workspace(SOUTH, setOf("b"))))).isNull()
    }

    /** Guards against a workspace whose priority is ignored, or whose missing priority outranks others. */
    @Test
    fun `the priority of a workspace takes precedence over that of the route`() {
        val table = RouteTable(configuration(Workspace(NORTH, setOf("a"), priority = 0), Workspace(SOUTH, setOf("b"))))
        expectThat(table.priorityOf(route, NORTH)).isEqualTo(0)
        expectThat(table.priorityOf(route, SOUTH)).isEqualTo(2)
        expectThat(table.priorityOf(route, null)).isEqualTo(2)
        expectThat(table.workspaceOf("b")).isEqualTo(SOUTH)
        expectThat(table.workspaceOf("c")).isNull()
    }

    /** Guards against an entry that is cut off and accepts a key for ever although it was revoked. */
    @Test
    fun `with strict revocation no key is accepted once its revocation may have been missed`() {
        val strict = KeyFreshness(revocation = 5.seconds, isStrict = true)
        expectThat(strict.mayAccept(4.seconds)).isTrue()
        expectThat(strict.mayAccept(5.seconds)).isFalse()
        expectThat(KeyFreshness(revocation = 5.seconds, isStrict = false).mayAccept(60.seconds)).isTrue()
    }

    private companion object {
        val NORTH = WorkspaceName("north")
        val SOUTH = WorkspaceName("south")
    }
}
