package org.zinniahoist.gateway.upstream

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import org.zinniahoist.model.Endpoint
import java.io.IOException
import java.net.ConnectException
import java.net.InetSocketAddress
import java.net.Socket
import kotlin.time.Duration.Companion.milliseconds

/** Checks whether a process listens at an address. */
internal fun interface ListenerProbe {
    /** Returns true if [endpoint] refuses connections; false if it accepts one or does not respond. */
    suspend fun isRefused(endpoint: Endpoint): Boolean
}

/** Opens a TCP connection and closes it again. */
internal object ConnectionProbe : ListenerProbe {
    private val TIMEOUT = 500.milliseconds

    override suspend fun isRefused(endpoint: Endpoint): Boolean = withContext(Dispatchers.IO) {
        try {
            Socket().use {
                it.connect(InetSocketAddress(endpoint.host, endpoint.port), TIMEOUT.inWholeMilliseconds.toInt())
            }
            false
        } catch (_: ConnectException) {
            true
        } catch (_: IOException) {
            false
        }
    }
}
