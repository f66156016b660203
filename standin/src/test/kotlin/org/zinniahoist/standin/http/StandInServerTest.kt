package org.zinniahoist.standin.http

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import org.zinniahoist.standin.bindExclusively
import org.zinniahoist.standin.client
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import java.net.BindException
import java.net.ConnectException
import java.net.Socket

class StandInServerTest {
    private val server = StandInServer { builder -> builder.service("/") { _, _ -> jsonResponse("served") } }

    /** Guards against a stopped server whose port another socket takes before the restart. */
    @Test
    fun `reserves its port while it is stopped`() {
        server.start()
        val port = server.port
        server.stop()
        assertThrows<ConnectException> { Socket("127.0.0.1", port) }
        assertThrows<BindException> { bindExclusively(port) }
        server.start()
        expectThat(server.port).isEqualTo(port)
        expectThat(client(server.address).get("/").aggregate().join().contentUtf8()).isEqualTo("\"served\"")
        server.close()
    }

    /** Guards against a stop that fails because clients close connections while they are reset. */
    @Test
    fun `stops while its clients close their connections`() {
        repeat(50) {
            server.start()
            val sockets = List(20) { Socket("127.0.0.1", server.port) }
            sockets.forEach { socket ->
                socket.getOutputStream().write("GET / HTTP/1.1\r\nhost: a\r\n\r\n".toByteArray())
                expectThat(socket.getInputStream().read()).isNotEqualTo(-1)
            }
            sockets.forEach { it.close() }
            server.stop()
        }
        server.close()
    }
}
