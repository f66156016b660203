package org.zinniahoist.daemon.control

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.server.Server
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.zinniahoist.model.BranchName
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Revision
import org.zinniahoist.settings.BranchChange
import org.zinniahoist.settings.BranchEdit
import org.zinniahoist.settings.EditIdentifier
import org.zinniahoist.settings.OfficeName
import org.zinniahoist.settings.OperatorName
import org.zinniahoist.settings.SettingsTree
import org.zinniahoist.state.coordination.EditResult
import org.zinniahoist.state.report.ProblemReport
import org.zinniahoist.state.report.StatusReport
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.net.InetSocketAddress

class ControlHttpTest {
    private val control = MemoryCoordination()
    private val access = mapOf(HASH_OF_SECRET to OperatorAccess(OperatorName("ana"), setOf(OfficeName("shared"))))
    private val open = serve(null)
    private val guarded = serve(access)

    private fun serve(operators: Map<String, OperatorAccess>?): Server {
        val status = { StatusReport.of(InstanceName("c1"), 0, Revision(0), emptyList(), emptyList()) }
        val builder = Server.builder().http(InetSocketAddress("127.0.0.1", 0))
        ControlHttp(control, status, operators).configure(builder)
        return builder.build().also { it.start().join() }
    }

    @AfterEach
    fun stop() = listOf(open, guarded).map { it.stop() }.forEach { it.join() }

    private fun call(
        method: HttpMethod,
        path: String,
        body: String = "",
        server: Server = open,
        token: String? = null,
    ): AggregatedHttpResponse {
        val headers = RequestHeaders.builder(method, "/control/v1$path")
        token?.let { headers.add("authorization", "Bearer $it") }
        val client = WebClient.of("http://127.0.0.1:${server.activeLocalPort()}")
        return client.execute(HttpRequest.of(headers.build(), com.linecorp.armeria.common.HttpData.ofUtf8(body)))
            .aggregate().join()
    }

    private fun edit(
        identifier: String,
        expected: Long = 0,
        attempts: String = "2",
        office: String = "shared",
    ): String {
        val change = if (expected == 0L) {
            BranchChange.Create(OfficeName("shared"), mapOf("retry.attempts" to attempts))
        } else {
            BranchChange.Update(mapOf("retry.attempts" to attempts))
        }
        val edit = BranchEdit(
            EditIdentifier(identifier),
            OfficeName(office),
            OperatorName("ana"),
            BranchName("root"),
            Revision(expected),
            change,
        )
        return Json.encodeToString(BranchEdit.serializer(), edit)
    }

    private fun AggregatedHttpResponse.problem() = Json.decodeFromString(ProblemReport.serializer(), contentUtf8())

    private fun AggregatedHttpResponse.result() = Json.decodeFromString(EditResult.serializer(), contentUtf8())

    @Nested
    inner class Edits {
        @Test
        fun `an accepted edit is in the tree and in the history`() {
            expectThat(call(HttpMethod.POST, "/edits", edit("e1"))) {
                get { status().code() }.isEqualTo(200)
                get { result() }.isEqualTo(EditResult.Accepted(Revision(1)))
            }
            val tree = Json.decodeFromString(SettingsTree.serializer(), call(HttpMethod.GET, "/tree").contentUtf8())
            expectThat(tree).isEqualTo(control.machine.tree)
            expectThat(call(HttpMethod.GET, "/history?after=0&limit=1").contentUtf8()).contains("\"e1\"")
        }

        @Test
        fun `of two edits of one revision the second is a conflict that names the first`() {
            call(HttpMethod.POST, "/edits", edit("e1"))
            call(HttpMethod.POST, "/edits", edit("e2", expected = 1, attempts = "3"))
            expectThat(call(HttpMethod.POST, "/edits", edit("e3", expected = 1, attempts = "4"))) {
                get { status().code() }.isEqualTo(409)
                get { contentUtf8() }.contains("\"winner\":\"e2\"")
            }
        }

        @Test
        fun `a reused identifier is 409 and a value out of range is 422`() {
            call(HttpMethod.POST, "/edits", edit("e1"))
            expectThat(call(HttpMethod.POST, "/edits", edit("e1", attempts = "3")).status().code()).isEqualTo(409)
            val refused = call(HttpMethod.POST, "/edits", edit("e2", expected = 1, attempts = "-1"))
            expectThat(refused.status().code()).isEqualTo(422)
        }

        @Test
        fun `an edit resent after an unknown outcome gets its first answer`() {
            control.resultOfNextCommand = ControlResult.OutcomeUnknown("link closed")
            expectThat(call(HttpMethod.POST, "/edits", edit("e1"))) {
                get { status().code() }.isEqualTo(504)
                get { problem().verdict }.isEqualTo(ProblemReport.MAY_HAVE_RUN)
            }
            expectThat(call(HttpMethod.POST, "/edits", edit("e1")).result()).isEqualTo(EditResult.Accepted(Revision(1)))
        }
    }

    @Nested
    inner class Refusals {
        @Test
        fun `without a majority the answer is 503 and not-run`() {
            control.available = false
            for (answer in listOf(call(HttpMethod.POST, "/edits", edit("e1")), call(HttpMethod.GET, "/tree"))) {
                expectThat(answer.status().code()).isEqualTo(503)
                expectThat(answer.problem().verdict).isEqualTo(ProblemReport.NOT_RUN)
            }
        }

        @Test
        fun `bad input is a problem document with its cause`() {
            val answers = mapOf(
                call(HttpMethod.POST, "/edits", "{\"identifier\":1") to 400,
                call(HttpMethod.GET, "/history?limit=0") to 400,
                call(HttpMethod.PUT, "/models/m/versions/x") to 400,
                call(HttpMethod.PUT, "/instances/Upper/draining", "{\"draining\":true}") to 400,
                call(HttpMethod.GET, "/edits") to 404,
                call(HttpMethod.POST, "/edits", " ".repeat(600_000)) to 413,
            )
            answers.forEach { (answer, status) ->
                expectThat(answer.status().code()).isEqualTo(status)
                expectThat(answer.headers().get("content-type")).isEqualTo(ProblemReport.MEDIA_TYPE)
                expectThat(answer.problem().detail.length).isGreaterThan(0)
            }
        }

        @Test
        fun `a token admits its operator for the offices of that operator only`() {
            fun post(token: String?, office: String = "shared") =
                call(HttpMethod.POST, "/edits", edit("e1", office = office), guarded, token).status().code()
            expectThat(post(null)).isEqualTo(401)
            expectThat(post("other")).isEqualTo(401)
            expectThat(post("secret", office = "alpha")).isEqualTo(403)
            expectThat(post("secret")).isEqualTo(200)
        }
    }

    @Test
    fun `versions and drains are part of the overview`() {
        call(HttpMethod.PUT, "/models/m/versions/4")
        call(HttpMethod.PUT, "/models/m/versions/5")
        call(HttpMethod.DELETE, "/models/m/versions/5")
        call(HttpMethod.PUT, "/instances/s1/draining", "{\"draining\":true}")
        expectThat(call(HttpMethod.GET, "/overview").contentUtf8())
            .isEqualTo("{\"revision\":0,\"targets\":{\"m\":4},\"draining\":[\"s1\"]}")
    }

    private companion object {
        /** SHA-256 of `secret`. */
        const val HASH_OF_SECRET = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
    }
}
