package org.zinniahoist.settings

/** Reports the values of a daemon's file that contradict each other. */
internal fun DaemonValues.checkRules() {
    checkRoles()
    checkUpstream()
    checkControl()
    checkTls()
    checkLimits()
}

internal val ROLE_NAMES: List<String> = listOf("entry", "sidecar", "control")

private fun DaemonValues.hasRole(role: String): Boolean = role in value(DaemonSchema.roles).orEmpty()

private fun DaemonValues.checkRoles() {
    val roles = value(DaemonSchema.roles) ?: return
    if (roles.isEmpty() || !ROLE_NAMES.containsAll(roles)) {
        reject(DaemonSchema.roles, "one or more of ${ROLE_NAMES.joinToString(", ")}")
    }
    if ("control" in roles) {
        require(DaemonSchema.dataFolder)
        require(DaemonSchema.settingsMembers)
    } else if (entry(DaemonSchema.dataFolder) != null) {
        reject(DaemonSchema.dataFolder, "no data folder without the role control")
    }
}

private fun DaemonValues.checkUpstream() {
    val keys = DaemonSchema.sections.first { it.name == "upstream" }.keys
    if (!hasRole("sidecar")) {
        keys.filter { entry(it) != null }.forEach { reject(it, "no upstream without the role sidecar") }
        return
    }
    require(DaemonSchema.kind)
    require(DaemonSchema.endpoint)
    when (value(DaemonSchema.kind)) {
        "model-engine" -> {
            require(DaemonSchema.model)
            forbid(DaemonSchema.service, "no service for a model engine")
        }

        "plain-service" -> {
            require(DaemonSchema.service)
            forbid(DaemonSchema.model, "no model for a plain service")
            forbid(DaemonSchema.checksFencingTokens, "no fencing tokens for a plain service")
        }
    }
}

private fun DaemonValues.forbid(key: SettingKey<*>, allowed: String) {
    if (entry(key) != null) reject(key, allowed)
}

private fun DaemonValues.checkControl() {
    val peers = entriesOf("peers").map { it.key }.toSet()
    val peerText = "control replicas of section [peers]: ${peers.sorted().joinToString(", ")}"
    val members = value(DaemonSchema.settingsMembers).orEmpty()
    if (!peers.containsAll(members)) reject(DaemonSchema.settingsMembers, peerText)
    entriesOf("ledgers").forEach { ledger ->
        val ledgerMembers = KeyType.NameSet.parse(ledger.value)
        if (ledgerMembers != null && (ledgerMembers.isEmpty() || !peers.containsAll(ledgerMembers))) {
            faults += SettingsFault.InvalidValue(ledger.place, "ledgers.${ledger.key}", ledger.value, peerText)
        }
    }
    val longest = checkNotNull(value(DaemonSchema.electionTimeout)) / HEARTBEATS_PER_ELECTION
    if (checkNotNull(value(DaemonSchema.replicaHeartbeat)) > longest) {
        reject(DaemonSchema.replicaHeartbeat, "at most a third of control.election-timeout: $longest")
    }
}

/** With fewer heartbeats in an election timeout, one late heartbeat starts an election. */
private const val HEARTBEATS_PER_ELECTION = 3

private fun DaemonValues.checkTls() {
    val files = listOf(DaemonSchema.certificate, DaemonSchema.privateKey, DaemonSchema.trust)
    if (files.any { entry(it) != null }) {
        files.forEach { require(it) }
    } else if (value(DaemonSchema.allowPlaintext) == false && !isLoopback(value(DaemonSchema.listenHost).orEmpty())) {
        reject(
            DaemonSchema.listenHost,
            "a loopback address, unless section [tls] is given or tls.allow-plaintext = true",
        )
    }
}

private val LOOPBACK_V4 = Regex("127(\\.[0-9]{1,3}){3}")

private fun isLoopback(host: String): Boolean =
    host == "localhost" || host.trim('[', ']') == "::1" || LOOPBACK_V4.matches(host)

private fun DaemonValues.checkLimits() {
    val frame = checkNotNull(value(DaemonSchema.frameSize))
    if (checkNotNull(value(DaemonSchema.bodySize)) >= frame) {
        reject(DaemonSchema.bodySize, "less than limits.frame-size: ${DaemonSchema.frameSize.type.render(frame)}")
    }
}
