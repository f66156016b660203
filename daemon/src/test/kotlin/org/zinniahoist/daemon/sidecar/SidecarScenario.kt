package org.zinniahoist.daemon.sidecar

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.zinniahoist.daemon.configuration.ActiveSettings
import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.CallerName
import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Region
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.Revision
import org.zinniahoist.model.Role
import org.zinniahoist.model.ServiceName
import org.zinniahoist.settings.DaemonSettings
import org.zinniahoist.settings.EffectiveSettings
import org.zinniahoist.settings.UpstreamKind
import org.zinniahoist.settings.UpstreamSettings
import org.zinniahoist.wire.AttemptMessage.CancelAttempt
import org.zinniahoist.wire.AttemptMessage.Credit
import org.zinniahoist.wire.AttemptMessage.StartAttempt
import org.zinniahoist.wire.IdempotencyTerms
import org.zinniahoist.wire.RequestOrigin
import org.zinniahoist.wire.UpstreamCall
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Sidecars, their upstream and control, in one process. */
internal class SidecarScenario(
    private val kind: UpstreamKind = UpstreamKind.PlainService(ServiceName("notes")),
    val upstream: TestUpstream = TestUpstream(),
) : AutoCloseable {
    private val now = AtomicLong()
    private val sidecars = mutableListOf<Sidecar>()
    val control = FakeControl()
    val clock: () -> Moment = { Moment(now.get()) }

    fun advance(duration: Duration) {
        now.addAndGet(duration.inWholeNanoseconds)
    }

    /** Starts a sidecar process: nothing but upstream and control is shared with others. */
    suspend fun sidecar(
        policies: SidecarPolicies = SidecarPolicies(LocalCrashReports(INSTANCE)),
        settings: EffectiveSettings? = EffectiveSettings(),
        awaitReady: Boolean = settings != null,
    ): Sidecar {
        val inForce = object : ActiveSettings {
            override val revision = Revision(1)
            override val settings = settings
        }
        val sidecar = Sidecar(daemonSettings(), inForce, control, policies, { _, _ -> }, clock, Random(1))
        sidecars += sidecar
        sidecar.start()
        if (awaitReady) awaitUntil { sidecar.isReady }
        return sidecar
    }

    fun link(sidecar: Sidecar, role: Role = Role.ENTRY): FakeLink = FakeLink(sidecar, clock, role).also(sidecar::onOpen)

    override fun close() {
        sidecars.forEach(Sidecar::close)
        upstream.close()
    }

    private fun daemonSettings() = DaemonSettings(
        name = INSTANCE,
        failureDomain = FailureDomain("a", Region("r")),
        roles = setOf(Role.SIDECAR),
        upstream = UpstreamSettings(kind, upstream.endpoint),
    )

    companion object {
        val INSTANCE = InstanceName("upstream-1")
        val ENGINE = UpstreamKind.ModelEngine(ModelName("m"))

        fun run(
            kind: UpstreamKind = UpstreamKind.PlainService(ServiceName("notes")),
            upstream: TestUpstream = TestUpstream(),
            block: suspend SidecarScenario.() -> Unit,
        ) {
            SidecarScenario(kind, upstream).use { scenario -> runBlocking { scenario.block() } }
        }

        suspend fun awaitUntil(condition: () -> Boolean) {
            while (!condition()) delay(1.milliseconds)
        }
    }
}

internal fun terms(key: String, digest: String = "digest") =
    IdempotencyTerms(CallerName("caller"), key, digest, FakeControl.LEDGER)

internal suspend fun Sidecar.start(
    link: FakeLink,
    attempt: String,
    terms: IdempotencyTerms? = null,
    body: String = "body",
    path: String = "/v1/completions",
    credit: Int = 1_000,
    budget: Long = 60_000,
    heartbeat: Long = FakeLink.HEARTBEAT,
) = onMessage(
    link,
    StartAttempt(
        attempt = AttemptIdentifier(attempt),
        request = RequestIdentifier("request-$attempt"),
        heartbeatEcho = heartbeat,
        budgetMilliseconds = budget,
        origin = RequestOrigin.Live(CallerName("caller")),
        call = UpstreamCall("POST", path, "application/json", body.encodeToByteArray()),
        fingerprint = body.hashCode().toLong(),
        idempotency = terms,
        credit = credit,
    ),
)

/** Runs [block] while [sidecar] drains, and returns once the drain has ended. */
internal suspend fun draining(sidecar: Sidecar, block: suspend () -> Unit): Unit = coroutineScope {
    val drain = launch(Dispatchers.Default) { sidecar.drain() }
    SidecarScenario.awaitUntil { sidecar.isDraining }
    block()
    drain.join()
}

internal suspend fun Sidecar.cancel(link: FakeLink, attempt: String) =
    onMessage(link, CancelAttempt(AttemptIdentifier(attempt)))

internal suspend fun Sidecar.grant(link: FakeLink, attempt: String, frames: Int) =
    onMessage(link, Credit(AttemptIdentifier(attempt), frames))

internal fun FakeLink.text(attempt: String): String = chunks(attempt).joinToString("") { it.bytes.decodeToString() }
