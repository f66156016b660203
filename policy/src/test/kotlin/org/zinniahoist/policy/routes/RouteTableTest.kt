package org.zinniahoist.policy.routes

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.zinniahoist.model.Revision
import org.zinniahoist.model.ServiceName
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

internal class RouteTableTest {
    private fun route(
        prefix: String,
        name: String = prefix,
        shares: List<ServiceShare> = listOf(ServiceShare(ServiceName("s"), 1)),
        timeout: Duration = 1.seconds,
    ) = Route(
        name = name,
        host = "h",
        pathPrefix = prefix,
        kind = RouteKind.REPEATABLE,
        timeout = timeout,
        target = 1.seconds,
        priority = 0,
        shares = shares,
        maximumAttempts = 2,
    )

    private fun configuration(vararg routes: Route) =
        ServiceConfiguration(Revision(1), routes.toList(), listOf(ServiceEntry(ServiceName("s"), 1)), limits = null)

    @Nested
    inner class `A path` {
        private val table = RouteTable(configuration(route("/a/"), route("/a/b/"), route("/")))

        /** Guards against matching a shorter prefix than the longest that matches. */
        @Test
        fun `matches the route with the longest prefix`() {
            expectThat(table.find("h", "/a/b/c")?.name).isEqualTo("/a/b/")
            expectThat(table.find("h", "/a/b")?.name).isEqualTo("/a/")
            expectThat(table.find("h", "/x")?.name).isEqualTo("/")
            expectThat(table.find("other", "/a/")).isNull()
        }
    }

    @Nested
    inner class `A configuration` {
        /** Guards against accepting an invalid configuration, with one case per validation error. */
        @Test
        fun `with an error is refused`() {
            val none = listOf(ServiceShare(ServiceName("s"), 0))
            val unknown = listOf(ServiceShare(ServiceName("t"), 1))
            expectThat(faultOf(configuration(route("/a/", shares = none)))).isA<ConfigurationFault.NoWeight>()
            expectThat(faultOf(configuration(route("/a/", shares = unknown)))).isA<ConfigurationFault.UnknownService>()
            expectThat(faultOf(configuration(route("/a/"), route("/a/", name = "b"))))
                .isA<ConfigurationFault.DuplicatePlace>()
            expectThat(
                faultOf(configuration(route("/a/", timeout = Duration.ZERO))),
            ).isA<ConfigurationFault.NoTimeout>()
            expectThat(faultOf(configuration(route("/a")))).isA<ConfigurationFault.MalformedPrefix>()
            expectThat(faultOf(configuration(route("/a/")))).isNull()
        }
    }

    @Nested
    inner class `A random selection` {
        /** Guards against requests to a service whose weight is zero. */
        @Test
        fun `never returns a service with zero weight`() {
            val shares = listOf(ServiceShare(ServiceName("zero"), 0), ServiceShare(ServiceName("s"), 3))
            val random = Random(1)
            repeat(100) { expectThat(route("/a/", shares = shares).drawService(random).value).isEqualTo("s") }
        }
    }
}
