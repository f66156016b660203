package org.zinniahoist.gateway.entry

import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpStatus
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.zinniahoist.model.Revision
import org.zinniahoist.model.WorkspaceName
import org.zinniahoist.policy.routes.Workspace
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Sends requests with and without keys to an entry whose configuration has the workspaces "north" and "south". */
class WorkspaceKeyTest {
    private val fixture = EntryFixture(grace = 1.seconds, latency = 1.milliseconds)
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    @AfterEach
    fun close() {
        fixture.entry.stop()
        fixture.close()
    }

    private fun start(vararg workspaces: Workspace) {
        fixture.workspaces = workspaces.toList()
        fixture.start()
    }

    /** Guards against callers without a key, or with a key of nobody, whose requests run. */
    @Test
    fun `a request without a known key is answered with 401 and does not run`() {
        start(NORTH, SOUTH, Workspace(WorkspaceName("west"), keys = setOf("")))
        expectThat(send(null)).isEqualTo(HttpStatus.UNAUTHORIZED.code())
        expectThat(send("Bearer other")).isEqualTo(HttpStatus.UNAUTHORIZED.code())
        expectThat(send("Bearer ")).isEqualTo(HttpStatus.UNAUTHORIZED.code())
        expectThat(send("Basic north-1")).isEqualTo(HttpStatus.UNAUTHORIZED.code())
        expectThat(fixture.receivedHeads).isEmpty()
    }

    /** Guards against a key that reaches an upstream, and against a caller that names another workspace. */
    @Test
    fun `an upstream gets the name of the key's workspace in place of the key`() {
        start(NORTH, SOUTH)
        expectThat(send("bearer south-1", "x-workspace" to "north")).isEqualTo(HttpStatus.OK.code())
        val head = fixture.receivedHeads.single()
        expectThat(head.contains(HttpHeaderNames.AUTHORIZATION)).isFalse()
        expectThat(head.getAll("x-workspace")).containsExactly("south")
    }

    /** Guards against a revoked key that goes on working on the connection on which it was accepted. */
    @Test
    fun `a revoked key is refused on a connection that was open before`() {
        start(NORTH, SOUTH)
        expectThat(send("Bearer north-1")).isEqualTo(HttpStatus.OK.code())
        fixture.workspaces = listOf(Workspace(NORTH.name, keys = setOf("north-2")), SOUTH)
        fixture.announce(2)
        awaitRevision(2)
        expectThat(send("Bearer north-1")).isEqualTo(HttpStatus.UNAUTHORIZED.code())
        expectThat(send("Bearer north-2")).isEqualTo(HttpStatus.OK.code())
    }

    /** Guards against a header that is taken for a key where the configuration has no workspaces. */
    @Test
    fun `without workspaces the fields of a request pass unchanged`() {
        fixture.start()
        expectThat(send("Bearer north-1", "x-workspace" to "n")).isEqualTo(HttpStatus.OK.code())
        val head = fixture.receivedHeads.single()
        expectThat(head.getAll(HttpHeaderNames.AUTHORIZATION)).containsExactly("Bearer north-1")
        expectThat(head.getAll("x-workspace")).containsExactly("n")
    }

    private fun awaitRevision(revision: Long) {
        val end = System.nanoTime() + 5.seconds.inWholeNanoseconds
        while (fixture.activeRevisions.lastOrNull() != Revision(revision) &&
            System.nanoTime() < end
        ) {
            Thread.onSpinWait()
        }
        expectThat(fixture.activeRevisions.last()).isEqualTo(Revision(revision))
    }

    private fun send(authorization: String?, vararg fields: Pair<String, String>): Int {
        val request = HttpRequest.newBuilder(URI("http://${fixture.clients}/s/a"))
            .header(UpstreamFixture.Names.requestIdentifier, "r")
        authorization?.let { request.header("authorization", it) }
        fields.forEach { (name, value) -> request.header(name, value) }
        return client.send(request.build(), HttpResponse.BodyHandlers.discarding()).statusCode()
    }

    private companion object {
        val NORTH = Workspace(WorkspaceName("north"), keys = setOf("north-1", "north-2"))
        val SOUTH = Workspace(WorkspaceName("south"), keys = setOf("south-1"))
    }
}
