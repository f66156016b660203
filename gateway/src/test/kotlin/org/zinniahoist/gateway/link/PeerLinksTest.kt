package org.zinniahoist.gateway.link

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds

class PeerLinksTest {
    /** Guards against entries that find their cores late because their first attempt met machines without power. */
    @Test
    fun `a machine that comes back is found within half a second`() {
        val limits = PeerLinks.LIMITS
        expectThat(limits.connectTimeout + limits.maximumBackoff).isLessThanOrEqualTo(500.milliseconds)
    }
}
