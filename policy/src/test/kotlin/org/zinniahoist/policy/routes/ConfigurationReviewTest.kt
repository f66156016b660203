package org.zinniahoist.policy.routes

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.zinniahoist.model.Revision
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.WorkspaceName
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.seconds

class ConfigurationReviewTest {
    private val service = ServiceEntry(ServiceName("s"), maximumConnections = 100)
    private val route = Route(
        name = "r",
        host = "h.example",
        pathPrefix = "/p/",
        kind = RouteKind.REPEATABLE,
        timeout = 2.seconds,
        target = 1.seconds,
        priority = 0,
        shares = listOf(ServiceShare(service.name, 1)),
        maximumAttempts = 3,
    )
    private val sound = configuration(route)

    private fun configuration(vararg routes: Route, services: List<ServiceEntry> = listOf(service)) =
        ServiceConfiguration(Revision(2), routes.toList(), services, limits = null)

    private fun fieldsOf(configuration: ServiceConfiguration, context: ReviewContext = ReviewContext()) =
        ConfigurationReview.review(configuration, context).map { it.severity to it.field }

    private fun warnings(vararg fields: ConfigurationField) = fields.map { FindingSeverity.WARNING to it }

    /** Guards against warnings about what every configuration has, which operators then stop reading. */
    @Test
    fun `a sound configuration has no finding`() {
        expectThat(ConfigurationReview.review(sound)).isEmpty()
        val below = route.copy(name = "q", pathPrefix = "/p/q/")
        expectThat(ConfigurationReview.review(configuration(route, below))).isEmpty()
    }

    /** Guards against a review that stops at the first error and hides the others. */
    @Test
    fun `all routes with errors are named`() {
        val unknown = route.copy(name = "a", pathPrefix = "/a/", shares = listOf(ServiceShare(ServiceName("x"), 1)))
        val broken = route.copy(name = "b", pathPrefix = "b")
        val same = route.copy(name = "c")
        val faulty = configuration(route, unknown, broken, same)
        val errors = ConfigurationReview.review(faulty).filter { it.severity == FindingSeverity.ERROR }
        expectThat(errors.map { it.part to it.field }).containsExactly(
            ConfigurationPart.OfRoute("a") to ConfigurationField.SHARES,
            ConfigurationPart.OfRoute("b") to ConfigurationField.PATH_PREFIX,
            ConfigurationPart.OfRoute("c") to ConfigurationField.PATH_PREFIX,
        )
    }

    /** Guards against a host that is accepted and for which no request, or none of a usual client, finds the route. */
    @ParameterizedTest
    @ValueSource(strings = ["", "h.example:8080", "[::1]", "H.example", "*.example", "h example", "h/example"])
    fun `hosts that the lookup does not find are reported`(host: String) {
        expectThat(fieldsOf(configuration(route.copy(host = host))))
            .containsExactly(warnings(ConfigurationField.HOST))
    }

    /** Guards against a prefix that no accepted path can have, as the entry refuses or cuts such paths. */
    @ParameterizedTest
    @ValueSource(strings = ["/a?b/", "/a#b/", "/a b/", "/ä/", "/%4/"])
    fun `prefixes that no path begins with are reported`(prefix: String) {
        expectThat(fieldsOf(configuration(route.copy(pathPrefix = prefix))))
            .containsExactly(warnings(ConfigurationField.PATH_PREFIX))
    }

    /** Guards against a route whose requests the service answers itself. */
    @Test
    fun `a prefix below a reserved path is reported, one above it is not`() {
        val context = ReviewContext(reserved = listOf(ReservedPrefix("/jobs/", setOf("GET"))))
        expectThat(fieldsOf(configuration(route.copy(pathPrefix = "/jobs/x/")), context))
            .containsExactly(warnings(ConfigurationField.PATH_PREFIX))
        expectThat(fieldsOf(configuration(route.copy(pathPrefix = "/")), context)).isEmpty()
    }

    /** Guards against shares, services and workspaces that are there and get or send nothing. */
    @Test
    fun `parts without effect are reported`() {
        val spare = ServiceEntry(ServiceName("spare"), 0)
        val shares = route.shares + ServiceShare(spare.name, 0)
        val configuration = ServiceConfiguration(
            Revision(2),
            listOf(route.copy(shares = shares, maximumAttempts = 2)),
            listOf(service, spare),
            limits = null,
            listOf(Workspace(WorkspaceName("w"), emptySet())),
        )
        expectThat(fieldsOf(configuration)).containsExactlyInAnyOrder(
            warnings(ConfigurationField.SHARES, ConfigurationField.NAME, ConfigurationField.KEYS),
        )
    }

    /** Guards against limits of which one makes the other meaningless. */
    @Test
    fun `limits that contradict each other are reported`() {
        val batch = BatchTerms(due = 1.seconds, keep = 1.seconds, singleVersion = false)
        val late = route.copy(name = "late", target = 3.seconds)
        val kept = route.copy(name = "kept", pathPrefix = "/k/", kind = RouteKind.BATCH, batch = batch)
        val context = ReviewContext(statedAttempts = mapOf("kept" to 0))
        val crowded = service.copy(engine = EngineTerms(slots = 101))
        val contradicting = configuration(late, kept, services = listOf(crowded))
        expectThat(fieldsOf(contradicting, context)).containsExactlyInAnyOrder(
            warnings(
                ConfigurationField.TARGET,
                ConfigurationField.MAXIMUM_ATTEMPTS,
                ConfigurationField.TIMEOUT,
                ConfigurationField.MAXIMUM_CONNECTIONS,
            ),
        )
        val two = listOf(ServiceShare(service.name, 1), ServiceShare(service.name, 1))
        expectThat(fieldsOf(configuration(route.copy(shares = two))))
            .containsExactly(warnings(ConfigurationField.MAXIMUM_ATTEMPTS))
    }

    /** Guards against a revision that is acknowledged and has no effect. */
    @Test
    fun `a revision that is not above the present one is reported`() {
        expectThat(ConfigurationReview.reviewRevision(sound, sound)).isNotNull()
        expectThat(ConfigurationReview.reviewRevision(sound, sound.copy(revision = Revision(1)))).isNull()
    }

    /** Guards against a difference that is not shown, and against a key that is. */
    @Test
    fun `differences name parts and fields, and keys as a count only`() {
        val before = sound.copy(
            routes = listOf(route, route.copy(name = "gone")),
            workspaces = listOf(Workspace(WorkspaceName("w"), setOf("secret-1", "secret-2"))),
        )
        val after = sound.copy(
            routes = listOf(route.copy(timeout = 3.seconds)),
            services = listOf(service, ServiceEntry(ServiceName("new"), 1)),
            limits = ClientLimits(1, 1),
            workspaces = listOf(Workspace(WorkspaceName("w"), setOf("secret-2", "secret-3", "secret-4"), priority = 1)),
        )
        expectThat(ConfigurationComparison.changes(before, after)).containsExactly(
            ConfigurationChange(ChangeKind.CHANGED, ConfigurationPart.OfRoute("r"), listOf("timeout 2s -> 3s")),
            ConfigurationChange(ChangeKind.REMOVED, ConfigurationPart.OfRoute("gone")),
            ConfigurationChange(ChangeKind.ADDED, ConfigurationPart.OfService(ServiceName("new"))),
            ConfigurationChange(
                ChangeKind.CHANGED,
                ConfigurationPart.OfWorkspace(WorkspaceName("w")),
                listOf("priority none -> 1", "keys 2 -> 3 (2 added, 1 removed)"),
            ),
            ConfigurationChange(ChangeKind.ADDED, ConfigurationPart.Limits),
        )
        expectThat(ConfigurationComparison.changes(before, before)).isEmpty()
    }
}
