package org.zinniahoist.gateway.core

import org.zinniahoist.model.Endpoint
import org.zinniahoist.settings.GatewayRole
import org.zinniahoist.settings.GatewaySettings
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Path
import kotlin.time.Duration.Companion.seconds

/** Settings of a core that is the only replica of its group. */
internal object SingleCore {
    const val HOST = "127.0.0.1"

    fun settings(folder: Path, operators: Endpoint, linkPort: Int) = GatewaySettings(
        machine = "core-1",
        role = GatewayRole.CORE,
        failureDomain = "a",
        region = "r",
        address = HOST,
        linkPort = linkPort,
        dataFolder = folder.toString(),
        clients = null,
        readiness = null,
        operators = operators,
        seeds = listOf(operators),
        firstStart = true,
        toleratedLosses = 0,
        listEndpoint = Endpoint(HOST, freePort()),
        grace = 2.seconds,
        orderLease = 1.seconds,
    )

    fun freePort(): Int = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
}
