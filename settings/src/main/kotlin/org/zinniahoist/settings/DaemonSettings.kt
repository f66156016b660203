package org.zinniahoist.settings

import org.zinniahoist.model.BranchName
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.Instance
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Region
import org.zinniahoist.model.Role
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.Upstream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Configuration of one daemon. */
public data class DaemonSettings(
    public val name: InstanceName,
    public val failureDomain: FailureDomain,
    public val roles: Set<Role>,
    /** Branch of the settings tree that the daemon follows. */
    public val branch: BranchName = ROOT,
    public val listenHost: String = "127.0.0.1",
    public val httpPort: Int = 8_080,
    public val linkPort: Int = 7_080,
    /** Folder of the durable files, or null if the daemon stores nothing on disk. */
    public val dataFolder: String? = null,
    /** Link addresses of the control replicas. */
    public val peers: Map<InstanceName, Endpoint> = emptyMap(),
    public val sidecars: Map<InstanceName, Endpoint> = emptyMap(),
    public val entries: Map<InstanceName, Endpoint> = emptyMap(),
    /** Upstream that the sidecar fronts, or null if the daemon is not a sidecar. */
    public val upstream: UpstreamSettings? = null,
    /** Settings of the replicated log, or null if the daemon is not a control replica. */
    public val control: ControlSettings? = null,
    public val limits: DaemonLimits = DaemonLimits(),
    /** TLS files for HTTP and links, or null for plaintext. */
    public val tls: TlsSettings? = null,
    public val allowPlaintext: Boolean = false,
    public val logLevel: String = "info",
    public val platform: PlatformSettings = PlatformSettings(),
) {
    /** The instance as advertised to other daemons. */
    public val instance: Instance get() = Instance(name, failureDomain, Endpoint(listenHost, linkPort), roles)
}

/** Upstream that a sidecar fronts. */
public data class UpstreamSettings(
    public val kind: UpstreamKind,
    public val endpoint: Endpoint,
) {
    /** Returns the upstream fronted by the daemon with [settings]. */
    public fun toUpstream(settings: DaemonSettings): Upstream = when (kind) {
        is UpstreamKind.ModelEngine -> {
            Upstream.ModelEngine(settings.name, settings.failureDomain, kind.model, kind.checksFencingTokens)
        }

        is UpstreamKind.PlainService -> {
            Upstream.PlainService(settings.name, settings.failureDomain, kind.service)
        }
    }
}

/** Kind of an upstream, with the model or service that it serves. */
public sealed interface UpstreamKind {
    /** An engine that generates tokens with the weights of [model]. */
    public data class ModelEngine(
        public val model: ModelName,
        public val checksFencingTokens: Boolean = false,
    ) : UpstreamKind

    /** A service that answers ordinary HTTP requests. */
    public data class PlainService(public val service: ServiceName) : UpstreamKind
}

/** Settings of the replicated log of a control replica. */
public data class ControlSettings(
    /** Initial members of the consensus group `settings`. */
    public val settingsMembers: Set<InstanceName>,
    /** Initial members of the consensus group `ledger` of each region. */
    public val ledgerMembers: Map<Region, Set<InstanceName>> = emptyMap(),
    public val electionTimeout: Duration = 600.milliseconds,
    public val heartbeatInterval: Duration = 100.milliseconds,
    public val snapshotEntries: Long = 100_000,
)

/** Resource limits of one daemon. */
public data class DaemonLimits(
    /** Maximum size of a request body, in bytes. */
    public val bodySize: Long = 1_024L * 1_024,
    /** Maximum frame size of a link, in bytes. */
    public val frameSize: Long = MAXIMUM_FRAME_BYTES,
    /** Maximum number of requests in flight. */
    public val concurrency: Int = 10_000,
)

/** Paths of PEM files for TLS. */
public data class TlsSettings(
    public val certificate: String,
    public val privateKey: String,
    public val trust: String,
)

/** External systems that the daemon uses: the platform's list of instances and the weight store. */
public data class PlatformSettings(
    public val listEndpoint: Endpoint? = null,
    public val listInterval: Duration = 2.seconds,
    public val weightStore: Endpoint? = null,
)
