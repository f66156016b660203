package org.zinniahoist.gateway.link

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds

class PeerLinksTest {
    /** Guards against entries that reconnect late because their first attempts reached machines without power. */
    @Test
    fun `a link to a restarted machine opens within half a second`() {
        val limits = PeerLinks.LIMITS
        expectThat(limits.connectTimeout + limits.maximumBackoff).isLessThanOrEqualTo(500.milliseconds)
    }
}
