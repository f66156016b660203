package org.zinniahoist.settings

/** Records an error for each value of a daemon's file that is inconsistent with other keys. */
internal fun DaemonValues.checkConsistency() {
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
        reportInvalid(DaemonSchema.roles, "one or more of ${ROLE_NAMES.joinToString(", ")}")
    }
    if ("control" in roles) {
        reportIfMissing(DaemonSchema.dataFolder)
        reportIfMissing(DaemonSchema.settingsMembers)
    } else if (entry(DaemonSchema.dataFolder) != null) {
        reportInvalid(DaemonSchema.dataFolder, "no data folder without the role control")
    }
}

private fun DaemonValues.checkUpstream() {
    val keys = DaemonSchema.sections.first { it.name == "upstream" }.keys
    if (!hasRole("sidecar")) {
        keys.filter { entry(it) != null }.forEach { reportInvalid(it, "no upstream without the role sidecar") }
        return
    }
    reportIfMissing(DaemonSchema.kind)
    reportIfMissing(DaemonSchema.endpoint)
    when (value(DaemonSchema.kind)) {
        "model-engine" -> {
            reportIfMissing(DaemonSchema.model)
            reportIfPresent(DaemonSchema.service, "no service for a model engine")
        }

        "plain-service" -> {
            reportIfMissing(DaemonSchema.service)
            reportIfPresent(DaemonSchema.model, "no model for a plain service")
            reportIfPresent(DaemonSchema.checksFencingTokens, "no fencing tokens for a plain service")
        }
    }
}

private fun DaemonValues.reportIfPresent(key: SettingKey<*>, allowed: String) {
    if (entry(key) != null) reportInvalid(key, allowed)
}

private fun DaemonValues.checkControl() {
    val peers = entriesOf("peers").map { it.key }.toSet()
    val allowedMembers = "control replicas of section [peers]: ${peers.sorted().joinToString(", ")}"
    val members = value(DaemonSchema.settingsMembers).orEmpty()
    if (!peers.containsAll(members)) reportInvalid(DaemonSchema.settingsMembers, allowedMembers)
    entriesOf("ledgers").forEach { ledger ->
        val ledgerMembers = KeyType.NameSet.parse(ledger.value)
        if (ledgerMembers != null && (ledgerMembers.isEmpty() || !peers.containsAll(ledgerMembers))) {
            errors += SettingsError.InvalidValue(ledger.location, "ledgers.${ledger.key}", ledger.value, allowedMembers)
        }
    }
    val maximumInterval = checkNotNull(value(DaemonSchema.electionTimeout)) / HEARTBEATS_PER_ELECTION
    if (checkNotNull(value(DaemonSchema.replicaHeartbeat)) > maximumInterval) {
        reportInvalid(DaemonSchema.replicaHeartbeat, "at most a third of control.election-timeout: $maximumInterval")
    }
}

/** Minimum heartbeats per election timeout; with fewer, a single late heartbeat triggers an election. */
private const val HEARTBEATS_PER_ELECTION = 3

private fun DaemonValues.checkTls() {
    val files = listOf(DaemonSchema.certificate, DaemonSchema.privateKey, DaemonSchema.trust)
    if (files.any { entry(it) != null }) {
        files.forEach { reportIfMissing(it) }
    } else if (value(DaemonSchema.allowPlaintext) == false && !isLoopback(value(DaemonSchema.listenHost).orEmpty())) {
        reportInvalid(
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
        reportInvalid(
            DaemonSchema.bodySize,
            "less than limits.frame-size: ${DaemonSchema.frameSize.type.render(frame)}",
        )
    }
}
