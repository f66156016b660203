package org.zinniahoist.policy.dispatch

import org.junit.jupiter.api.Test
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

internal class RecentWorkTest {
    private val model = ModelName("m")
    private val work = RecentWork(span = 10.seconds)
    private val start = Moment.ZERO + 60.seconds

    private fun tokensAfter(seconds: Int) = work.tokens(model, start + seconds.seconds)

    /** Guards against a model that loses its upstreams between two steps, when nothing of it is open. */
    @Test
    fun `an ended job counts for a while after its submission`() {
        work.onSubmitted("j", model, tokens = 500, start)
        work.onEnded("j")
        expectThat(tokensAfter(9)).isEqualTo(500)
        expectThat(tokensAfter(10)).isEqualTo(0)
    }

    /** Guards against a model that falls behind and loses upstreams for it, and so falls behind further. */
    @Test
    fun `an open job counts as long as it is open`() {
        work.onSubmitted("j", model, tokens = 500, start)
        expectThat(tokensAfter(30)).isEqualTo(500)
        work.retainOpen(emptySet())
        expectThat(tokensAfter(30)).isEqualTo(0)
    }

    /** Guards against a submission that counts twice or anew because it is told again. */
    @Test
    fun `a job that is told again counts once and from its first submission`() {
        work.onSubmitted("j", model, tokens = 500, start)
        work.onSubmitted("j", model, tokens = 500, start + 8.seconds)
        expectThat(tokensAfter(9)).isEqualTo(500)
        work.onEnded("j")
        expectThat(tokensAfter(10)).isEqualTo(0)
        expectThat(work.tokens(ModelName("other"), start)).isEqualTo(0)
    }
}
