package org.zinniahoist.settings

import org.junit.jupiter.api.Test
import org.zinniahoist.model.Endpoint
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

internal class GatewaySettingsTest {
    private val core =
        """
        [process]
        machine = store-a-1
        role = core
        failure-domain = a
        region = r
        address = 10.0.0.1
        link-port = 7300
        data-folder = /data/core
        [listen]
        clients =
        readiness =
        operators = 10.0.0.1:8262
        [group]
        seeds = 10.0.0.1:8262,10.0.0.2:8262
        first-start = true
        tolerated-losses = 1
        [platform]
        list = 10.0.0.9:8266
        [times]
        grace-seconds = 8
        order-lease-milliseconds = 3000
        """.trimIndent()

    private fun errors(text: String): List<String> =
        GatewaySettingsReader.parse("f.ini", text).fold({ errors -> errors.map { it.message } }, { emptyList() })

    /** Guards against a value that is dropped or assigned to the wrong field. */
    @Test
    fun `accept empty values for addresses that the role does not serve`() {
        val settings = GatewaySettingsReader.parse("f.ini", core).fold({ error("$it") }, { it })
        expectThat(settings.role).isEqualTo(GatewayRole.CORE)
        expectThat(settings.clients).isEqualTo(null)
        expectThat(settings.seeds).containsExactly(Endpoint("10.0.0.1", 8262), Endpoint("10.0.0.2", 8262))
        expectThat(settings.grace).isEqualTo(8.seconds)
    }

    /** Guards against upstreams that are used for longer after their notice than the platform allows. */
    @Test
    fun `take the drain time from the file, or its default`() {
        fun drainOf(text: String) = GatewaySettingsReader.parse("f.ini", text).fold({ error("$it") }, { it.drain })
        expectThat(drainOf("$core\ndrain-milliseconds = 1500")).isEqualTo(1.5.seconds)
        expectThat(drainOf("$core\ndrain-milliseconds =")).isEqualTo(3.seconds)
    }

    /** Guards against duties that are performed, or not, against the file, and against a file that needs them. */
    @Test
    fun `take the duties from the file, or none`() {
        fun dutiesOf(text: String) = GatewaySettingsReader.parse("f.ini", text).fold({ error("$it") }, { it.duties })
        expectThat(dutiesOf("$core\n[duties]\nnames = usage_report, autoscale\nreport-window-seconds = 4"))
            .isEqualTo(DutySettings(names = setOf("usage_report", "autoscale"), reportWindow = 4.seconds))
        expectThat(dutiesOf("$core\n[duties]\nnames =\ncalls-per-second =\nfence-required ="))
            .isEqualTo(DutySettings())
        expectThat(errors("$core\n[duties]\nreport-window-seconds = 0"))
            .containsExactly("key 'duties.report-window-seconds' has value '0'; allowed: a positive number")
    }

    /** Guards against a deployment that bounds its requests without a setting, or not with it. */
    @Test
    fun `take the admission of live requests from the file, or none`() {
        fun modeOf(text: String) =
            GatewaySettingsReader.parse("f.ini", text).fold({ error("$it") }, { it.scheduling.liveAdmission })
        expectThat(modeOf(core)).isEqualTo(LiveAdmissionMode.NONE)
        expectThat(modeOf("$core\n[scheduling]\nlive-admission = none")).isEqualTo(LiveAdmissionMode.NONE)
        expectThat(modeOf("$core\n[scheduling]\nlive-admission = adaptive")).isEqualTo(LiveAdmissionMode.ADAPTIVE)
        expectThat(errors("$core\n[scheduling]\nlive-admission = Adaptive"))
            .containsExactly("key 'scheduling.live-admission' has value 'Adaptive'; allowed: none, adaptive")
    }

    /** Guards against a scheduling setting that is ignored, or a default that changes existing deployments. */
    @Test
    fun `take the scheduling from the file, or the defaults`() {
        fun read(text: String) = GatewaySettingsReader.parse("f.ini", text).fold({ error("$it") }, { it })
        val chosen = read("$core\n[scheduling]\nitem-order = fair-share\nplacement = memory")
        expectThat(chosen.scheduling.itemOrder to chosen.scheduling.placement)
            .isEqualTo(ItemOrderSetting.FAIR_SHARE to PlacementSetting.MEMORY)
        val defaults = read("$core\n[scheduling]\nitem-order =")
        expectThat(defaults.scheduling.itemOrder to defaults.scheduling.placement)
            .isEqualTo(ItemOrderSetting.DUE_TIME to PlacementSetting.SLOTS)
        expectThat(errors("$core\n[scheduling]\nplacement = slot"))
            .containsExactly("key 'scheduling.placement' has value 'slot'; allowed: slots, memory")
    }

    /** Guards against a changed key that operators are not told of, or are told of by the name of another. */
    @Test
    fun `name each key whose value differs`() {
        fun read(text: String) = GatewaySettingsReader.parse("f.ini", text).fold({ error("$it") }, { it })
        val withClients = core.replace("clients =", "clients = 10.0.0.1:1")
        val withReadiness = withClients.replace("readiness =", "readiness = 10.0.0.1:2")
        val lines = "$withReadiness\ndrain-milliseconds = 3000".lines()
        val settings = read(lines.joinToString("\n"))
        var section = ""
        for ((index, line) in lines.withIndex()) {
            if (line.startsWith('[')) {
                section = line.trim('[', ']')
                continue
            }
            val key = line.substringBefore(" =")
            val changed = lines.toMutableList().also { it[index] = "$key = ${otherValues[key] ?: "10.0.0.8:1"}" }
            expectThat(read(changed.joinToString("\n")).keysThatDiffer(settings)).containsExactly("$section.$key")
        }
        expectThat(settings.keysThatDiffer(settings)).isEmpty()
    }

    /** Values that differ from those in [core], of keys that are not an address. */
    private val otherValues = mapOf(
        "machine" to "store-a-2",
        "role" to "entry",
        "failure-domain" to "b",
        "region" to "s",
        "address" to "10.0.0.8",
        "link-port" to "7301",
        "data-folder" to "/data/other",
        "first-start" to "false",
        "tolerated-losses" to "2",
        "grace-seconds" to "9",
        "order-lease-milliseconds" to "3001",
        "drain-milliseconds" to "3001",
    )

    /** Guards against a reader that stops at the first error and hides the others. */
    @Test
    fun `report all errors at once`() {
        val text = core.replace("role = core", "role = cor").replace("link-port = 7300", "link-prt = 7300")
        expectThat(errors(text)).containsExactly(
            "key 'process.link-port' is missing; allowed: 1 to 65535",
            "key 'process.role' has value 'cor'; allowed: entry, core",
            "unknown key 'process.link-prt' with value '7300'; allowed: keys process.role, process.machine, " +
                "process.failure-domain, process.region, process.address, process.link-port, process.data-folder, " +
                "listen.clients, listen.readiness, listen.operators, group.seeds, group.first-start, " +
                "group.tolerated-losses, platform.list, times.grace-seconds, times.order-lease-milliseconds, " +
                "times.drain-milliseconds, times.revoke-milliseconds, keys.strict-revocation, duties.names, " +
                "duties.calls-per-second, duties.report-window-seconds, duties.report-lateness-seconds, " +
                "duties.fence-required, scheduling.live-admission, scheduling.item-order, scheduling.placement; " +
                "did you mean 'process.link-port'?",
        )
    }

    /** Guards against a core that starts without a folder for the state of its replica. */
    @Test
    fun `of a core require a data folder`() {
        expectThat(errors(core.replace("data-folder = /data/core", "data-folder =")))
            .containsExactly("key 'process.data-folder' is missing; allowed: a text")
    }
}
