package org.zinniahoist.settings

import org.zinniahoist.model.Endpoint
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Type of a TCP port; port 0 makes the operating system assign a free port. */
private val PORT = KeyType.WholeNumber(0L..65_535L)

/** Maximum frame size of a link, in bytes; the link protocol fixes this limit. */
internal const val MAXIMUM_FRAME_BYTES: Long = 4L * 1_024 * 1_024

/** Schema of the daemon's INI file: its sections and keys. */
public object DaemonSchema {
    internal val name =
        SettingKey("name", KeyType.Name, "Name of the instance, unique in the deployment.", required = true)
    internal val failureDomain =
        SettingKey("failure-domain", KeyType.Name, "Failure domain of the instance.", required = true)
    internal val region = SettingKey("region", KeyType.Name, "Region of the failure domain.", required = true)
    internal val roles =
        SettingKey("roles", KeyType.NameSet, "Roles of the daemon: entry, sidecar, control.", required = true)
    internal val branch =
        SettingKey("branch", KeyType.Branch, "Branch of the settings tree that the daemon follows.", ROOT)
    internal val listenHost =
        SettingKey("listen-host", KeyType.HostName, "Address that HTTP and links listen on.", "127.0.0.1")
    internal val httpPort = SettingKey("http-port", PORT, "Port of HTTP; 0 takes a free port.", 8_080L)
    internal val linkPort = SettingKey("link-port", PORT, "Port of links; 0 takes a free port.", 7_080L)
    internal val dataFolder =
        SettingKey("data-folder", KeyType.FilePath, "Folder of the durable files; required with the role control only.")

    internal val kind =
        SettingKey(
            "kind",
            KeyType.Choice(listOf("model-engine", "plain-service")),
            "Kind of the upstream; required with the role sidecar.",
        )
    internal val model = SettingKey("model", KeyType.Name, "Model of the engine; required for a model engine.")
    internal val service = SettingKey("service", KeyType.Name, "Name of the service; required for a plain service.")
    internal val endpoint =
        SettingKey("endpoint", KeyType.Address, "Address of the upstream; required with the role sidecar.")
    internal val checksFencingTokens =
        SettingKey(
            "checks-fencing-tokens",
            KeyType.Switch,
            "Whether the engine itself rejects orders with an old fencing token.",
            false,
        )

    internal val settingsMembers =
        SettingKey(
            "settings-members",
            KeyType.NameSet,
            "First members of the consensus group settings, by instance; required with the role control.",
        )
    internal val electionTimeout =
        SettingKey(
            "election-timeout",
            KeyType.Time(100.milliseconds, 1.seconds),
            "Shortest time without a leader before an election; each replica adds a random part up to the same length.",
            600.milliseconds,
        )
    internal val replicaHeartbeat =
        SettingKey(
            "heartbeat-interval",
            KeyType.Time(10.milliseconds, 500.milliseconds),
            "Time between heartbeats of a leader; at most a third of election-timeout.",
            100.milliseconds,
        )
    internal val snapshotEntries =
        SettingKey(
            "snapshot-entries",
            KeyType.WholeNumber(1_000L..10_000_000L, "log entries"),
            "Entries after which a replica takes a snapshot.",
            100_000L,
        )

    internal val bodySize =
        SettingKey(
            "body-size",
            KeyType.Size(1_024, MAXIMUM_FRAME_BYTES),
            "Largest body of a request; smaller than frame-size.",
            1_024L * 1_024,
        )
    internal val frameSize =
        SettingKey(
            "frame-size",
            KeyType.Size(4_096, MAXIMUM_FRAME_BYTES),
            "Largest frame of a link.",
            MAXIMUM_FRAME_BYTES,
        )
    internal val concurrency =
        SettingKey(
            "concurrency",
            KeyType.WholeNumber(1L..1_000_000L, "requests"),
            "Requests in flight in the daemon.",
            10_000L,
        )

    internal val certificate = SettingKey("certificate", KeyType.FilePath, "Certificate chain in PEM form.")
    internal val privateKey = SettingKey("private-key", KeyType.FilePath, "Private key in PEM form.")
    internal val trust =
        SettingKey("trust", KeyType.FilePath, "Certificates in PEM form that peers are checked against.")
    internal val allowPlaintext =
        SettingKey("allow-plaintext", KeyType.Switch, "Allows listening beyond loopback without TLS.", false)

    internal val level =
        SettingKey(
            "level",
            KeyType.Choice(listOf("trace", "debug", "info", "warn", "error")),
            "Least level logged.",
            "info",
        )

    internal val listEndpoint =
        SettingKey("list-endpoint", KeyType.Address, "Address of the platform's list of instances (HTTP).")
    internal val listInterval =
        SettingKey<Duration>(
            "list-interval",
            KeyType.Time(100.milliseconds, 60.seconds),
            "Time between two reads of the list.",
            2.seconds,
        )
    internal val weightStore =
        SettingKey<Endpoint>("weight-store", KeyType.Address, "Address of the weight store (HTTP).")

    /** All sections, in the order of the generated reference. */
    public val sections: List<SectionSchema> =
        listOf(
            SectionSchema(
                "instance",
                "The instance and what its daemon does.",
                listOf(name, failureDomain, region, roles, branch, listenHost, httpPort, linkPort, dataFolder),
            ),
            SectionSchema(
                "peers",
                "Control replicas: instance = host:port of its links.",
                namedValues = KeyType.Address,
            ),
            SectionSchema("sidecars", "Sidecars: instance = host:port of its links.", namedValues = KeyType.Address),
            SectionSchema("entries", "Entries: instance = host:port of its links.", namedValues = KeyType.Address),
            SectionSchema(
                "upstream",
                "The upstream beside a sidecar.",
                listOf(kind, model, service, endpoint, checksFencingTokens),
            ),
            SectionSchema(
                "control",
                "Replicated log of a control replica.",
                listOf(settingsMembers, electionTimeout, replicaHeartbeat, snapshotEntries),
            ),
            SectionSchema(
                "ledgers",
                "Consensus groups ledger: region = first members, by instance.",
                namedValues = KeyType.NameSet,
            ),
            SectionSchema("limits", "Limits of the daemon.", listOf(bodySize, frameSize, concurrency)),
            SectionSchema(
                "tls",
                "TLS of HTTP and links; certificate, private-key and trust are given together or not at all.",
                listOf(certificate, privateKey, trust, allowPlaintext),
            ),
            SectionSchema("log", "Log lines.", listOf(level)),
            SectionSchema("platform", "Systems around the daemon.", listOf(listEndpoint, listInterval, weightStore)),
        )
}
