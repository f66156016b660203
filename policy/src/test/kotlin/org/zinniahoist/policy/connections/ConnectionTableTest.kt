package org.zinniahoist.policy.connections

import org.junit.jupiter.api.Test
import org.zinniahoist.model.Moment
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

internal class ConnectionTableTest {
    private val table = ConnectionTable<String>(ConnectionLimits(maximumConnections = 2))

    private fun at(seconds: Int) = Moment.ZERO + seconds.seconds

    /** Guards against a crowd that opens connections without end. */
    @Test
    fun `a connection beyond the limit is refused while the others are active`() {
        expectThat(table.open("a", at(0))).isEqualTo(Admission.Accepted)
        expectThat(table.open("b", at(0))).isEqualTo(Admission.Accepted)
        expectThat(table.open("c", at(14))).isEqualTo(Admission.Refused)
        expectThat(table.size).isEqualTo(2)
        table.close("a")
        expectThat(table.open("c", at(14))).isEqualTo(Admission.Accepted)
    }

    /** Guards against idle connections that keep ordinary clients out until they time out. */
    @Test
    fun `a new connection takes the place of the one without activity for longest`() {
        table.open("a", at(0))
        table.open("b", at(1))
        table.onActivity("a", at(2))
        expectThat(table.open("c", at(16))).isEqualTo(Admission.InPlaceOf("b"))
        expectThat(table.size).isEqualTo(2)
    }

    /** Guards against closing a connection whose client waits for a response. */
    @Test
    fun `a connection with a request under way keeps its place`() {
        table.open("a", at(0))
        table.open("b", at(0))
        table.onRequest("a")
        table.onRequest("b")
        expectThat(table.open("c", at(100))).isEqualTo(Admission.Refused)
        table.onActivity("b", at(100))
        expectThat(table.open("c", at(115))).isEqualTo(Admission.InPlaceOf("b"))
    }

    /** Guards against entries of closed connections that events on their event loops bring back. */
    @Test
    fun `a closed connection stays closed`() {
        table.open("a", at(0))
        table.close("a")
        table.onActivity("a", at(1))
        table.onRequest("a")
        expectThat(table.size).isEqualTo(0)
    }
}
