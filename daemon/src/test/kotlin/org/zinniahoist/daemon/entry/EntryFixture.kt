package org.zinniahoist.daemon.entry

import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import org.zinniahoist.daemon.configuration.ActiveSettings
import org.zinniahoist.model.CallerName
import org.zinniahoist.model.Contract
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Region
import org.zinniahoist.model.Revision
import org.zinniahoist.model.Role
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.TrainerName
import org.zinniahoist.model.TrainingContract
import org.zinniahoist.settings.CallerTerms
import org.zinniahoist.settings.DaemonSettings
import org.zinniahoist.settings.EffectiveSettings
import org.zinniahoist.settings.TrainerTerms
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.security.MessageDigest
import java.util.HexFormat
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

internal fun hashOf(token: String): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(token.toByteArray()))

private fun caller(name: String, concurrency: Int = 64): Pair<CallerName, CallerTerms> {
    val contract = Contract(
        CallerName(name),
        Region("r"),
        concurrency,
        nonIdempotentServices = setOf(ServiceName("orders")),
    )
    return CallerName(name) to CallerTerms(contract, hashOf("token-$name"))
}

private fun trainer(name: String): Pair<TrainerName, TrainerTerms> = TrainerName(name) to
    TrainerTerms(TrainingContract(TrainerName(name), Region("r"), ModelName("m")), hashOf("token-$name"))

internal class FixedSettings : ActiveSettings {
    override val revision = Revision(1)
    override var settings: EffectiveSettings? =
        EffectiveSettings(
            callers = mapOf(caller("shop"), caller("narrow", 1)),
            trainers = mapOf(trainer("t"), trainer("u")),
        )
}

/** Starts entries with fake sidecars and an in-memory ledger. */
internal class EntryFixture : AutoCloseable {
    val control = MemoryControl()
    val inForce = FixedSettings()
    private val http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    private val closed = ArrayDeque<AutoCloseable>()

    suspend fun entry(
        name: String,
        vararg sidecars: FakeSidecar,
        entries: Map<InstanceName, Endpoint> = emptyMap(),
    ): Entry {
        closed.addAll(sidecars)
        val settings = DaemonSettings(
            name = InstanceName(name),
            failureDomain = DOMAIN,
            roles = setOf(Role.ENTRY),
            httpPort = 0,
            linkPort = 0,
            sidecars = sidecars.associate { it.start() },
            entries = entries,
        )
        return start(settings)
    }

    suspend fun start(settings: DaemonSettings): Entry {
        val clock = { Moment(System.nanoTime()) }
        val entry = Entry(settings, inForce, control, { _, _ -> }, clock, Random(7), Incarnation(1))
        closed += entry
        entry.start()
        return entry
    }

    suspend fun call(
        entry: Entry,
        method: String,
        path: String,
        body: String = "",
        token: String? = "token-shop",
        vararg headers: Pair<String, String>,
    ): HttpResponse<String> {
        val request = HttpRequest.newBuilder(URI("http://${entry.httpEndpoint}$path"))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
        token?.let { request.header("Authorization", "Bearer $it") }
        headers.forEach { (name, value) -> request.header(name, value) }
        return http.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString()).await()
    }

    suspend fun complete(entry: Entry, stream: Boolean = false, vararg headers: Pair<String, String>) =
        call(entry, "POST", "/v1/completions", """{"model":"m","prompt":"p","stream":$stream}""", headers = headers)

    override fun close() = closed.reversed().forEach { it.close() }
}

internal val HttpResponse<String>.json: JsonObject get() = Json.parseToJsonElement(body()).jsonObject

/** Polls until [condition] holds. Has no time limit of its own; the time limit of the build ends a stuck test. */
internal suspend fun until(condition: suspend () -> Boolean) {
    while (!condition()) delay(10.milliseconds)
}
