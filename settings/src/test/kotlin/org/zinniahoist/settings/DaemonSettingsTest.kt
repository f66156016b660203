package org.zinniahoist.settings

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Role
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasEntry
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds

private const val INSTANCE_SECTION = "[instance]\nname = a1\nfailure-domain = cz-1\nregion = cz\nroles = entry\n"

private fun errors(text: String): List<String> =
    DaemonSettingsReader.parse("d.ini", text).fold({ errors -> errors.map { it.toString() } }, { emptyList() })

private fun parsed(text: String): DaemonSettings =
    DaemonSettingsReader.parse("d.ini", text).fold({ error(it.joinToString("\n")) }, { it })

class DaemonSettingsTest {
    @Nested
    inner class `A valid file` {
        @Test
        fun `yields the data class defaults for absent keys`() {
            val settings = parsed(INSTANCE_SECTION)
            expectThat(settings).isEqualTo(
                DaemonSettings(settings.name, settings.failureDomain, setOf(Role.ENTRY)),
            )
        }

        @Test
        fun `yields peers, members and durations of a control replica`() {
            val settings =
                parsed(
                    INSTANCE_SECTION.replace("entry", "control, entry") +
                        "data-folder = /data\n[peers]\na1 = 10.0.0.1:7080\n[control]\nsettings-members = a1\n" +
                        "election-timeout = 400ms\n[ledgers]\ncz = a1\n[limits]\nbody-size = 64KiB\n",
                )
            expectThat(settings.peers).hasEntry(InstanceName("a1"), Endpoint("10.0.0.1", 7080))
            expectThat(settings.control?.electionTimeout).isEqualTo(400.milliseconds)
            expectThat(settings.control?.ledgerMembers?.values?.single()).isEqualTo(setOf(InstanceName("a1")))
            expectThat(settings.limits.bodySize).isEqualTo(65_536)
        }
    }

    @Nested
    inner class `An invalid file` {
        @Test
        fun `reports all errors at once with file, line, key, value and allowed values`() {
            val text =
                "stray = 1\n; comment\n" + INSTANCE_SECTION + "htp-port = 80\nlink-port = 70000\nname = a2\nnoise\n" +
                    "[limit]\n[log]\nlevel = loud\n[broken\n[sidecars]\nb = nowhere\nB C = h:1\n[log]\n"
            expectThat(errors(text)).containsExactly(
                "d.ini:1: unknown section [?]; allowed: sections $SECTIONS",
                "d.ini:8: unknown key 'instance.htp-port' with value '80'; allowed: keys name, failure-domain, " +
                    "region, roles, branch, listen-host, http-port, link-port, data-folder; did you mean 'http-port'?",
                "d.ini:9: key 'instance.link-port' has value '70000'; allowed: a whole number from 0 to 65535",
                "d.ini:10: key 'instance.name' with value 'a2' was already given at d.ini:4; allowed: once",
                "d.ini:11: 'noise' is not '[section]', 'key = value' or a comment",
                "d.ini:12: unknown section [limit]; allowed: sections $SECTIONS; did you mean 'limits'?",
                "d.ini:14: key 'log.level' has value 'loud'; allowed: one of trace, debug, info, warn, error",
                "d.ini:15: '[broken' is not '[section]', 'key = value' or a comment",
                "d.ini:17: key 'sidecars.b' has value 'nowhere'; allowed: host:port with a port from 1 to 65535",
                "d.ini:18: unknown key 'sidecars.B C' with value 'h:1'; allowed: ${KeyType.Name.allowed}",
                "d.ini:19: section [log] was already given at d.ini:13; allowed: once",
            )
        }

        @Test
        fun `reports each missing key at its section or at the file`() {
            expectThat(errors("[instance]\nname = a\nregion = r\nroles = sidecar, control\n")).containsExactly(
                "d.ini: key 'control.settings-members' is missing; allowed: ${KeyType.NameSet.allowed}",
                "d.ini: key 'upstream.kind' is missing; allowed: one of model-engine, plain-service",
                "d.ini: key 'upstream.endpoint' is missing; allowed: host:port with a port from 1 to 65535",
                "d.ini:1: key 'instance.failure-domain' is missing; allowed: ${KeyType.Name.allowed}",
                "d.ini:1: key 'instance.data-folder' is missing; allowed: a path that is not empty",
            )
        }

        @Test
        fun `reports inconsistent values`() {
            val text =
                INSTANCE_SECTION + "listen-host = 10.0.0.1\ndata-folder = /d\n[upstream]\nmodel = m\n[control]\n" +
                    "settings-members = z\nelection-timeout = 100ms\n[ledgers]\ncz = z\n[limits]\nbody-size = 4MiB\n"
            expectThat(errors(text)).containsExactly(
                "d.ini:6: key 'instance.listen-host' has value '10.0.0.1'; allowed: a loopback address, " +
                    "unless section [tls] is given or tls.allow-plaintext = true",
                "d.ini:7: key 'instance.data-folder' has value '/d'; allowed: no data folder without the role control",
                "d.ini:9: key 'upstream.model' has value 'm'; allowed: no upstream without the role sidecar",
                "d.ini:10: key 'control.heartbeat-interval' has value '100ms'; " +
                    "allowed: at most a third of control.election-timeout: 33.333333ms",
                "d.ini:11: key 'control.settings-members' has value 'z'; " +
                    "allowed: control replicas of section [peers]: ",
                "d.ini:14: key 'ledgers.cz' has value 'z'; allowed: control replicas of section [peers]: ",
                "d.ini:16: key 'limits.body-size' has value '4MiB'; allowed: less than limits.frame-size: 4MiB",
            )
        }

        @Test
        fun `may listen beyond loopback only with TLS or with plaintext allowed`() {
            val open = INSTANCE_SECTION + "listen-host = 0.0.0.0\n[tls]\n"
            expectThat(errors(open).size).isEqualTo(1)
            expectThat(errors("${open}allow-plaintext = false\n").size).isEqualTo(1)
            expectThat(errors("${open}allow-plaintext = true\n")).isEqualTo(emptyList())
            expectThat(errors("${open}certificate = c\nprivate-key = k\ntrust = t\n")).isEqualTo(emptyList())
            expectThat(errors("${open}certificate = c\nprivate-key = k\n")).containsExactly(
                "d.ini:7: key 'tls.trust' is missing; allowed: a path that is not empty",
            )
            expectThat(errors(open.replace("0.0.0.0", "127.evil.example")).size).isEqualTo(1)
        }
    }

    private companion object {
        val SECTIONS = DaemonSchema.sections.joinToString(", ") { it.name }
    }
}
