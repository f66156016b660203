package org.zinniahoist.policy.dispatch

import org.junit.jupiter.api.Test
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.WeightVersion
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

internal class RecentWorkTest {
    private val model = ModelName("m")
    private val work = RecentWork(retention = 10.seconds)
    private val start = Moment.ZERO + 60.seconds

    private fun job(name: String, minimum: Long = 1) = JobWork(name, model, tokens = 500, WeightVersion(minimum))

    private fun tokensAfter(seconds: Int) = work.demand(model, start + seconds.seconds).tokens

    /** Guards against a model that loses its upstreams between two steps, when nothing of it is open. */
    @Test
    fun `an ended job counts for a while after its submission`() {
        work.onSubmitted(job("j"), start)
        work.onEnded("j")
        expectThat(tokensAfter(9)).isEqualTo(500)
        expectThat(tokensAfter(10)).isEqualTo(0)
    }

    /** Guards against a model that falls behind and loses upstreams for it, and so falls behind further. */
    @Test
    fun `an open job counts as long as it is open`() {
        work.onSubmitted(job("j"), start)
        expectThat(tokensAfter(30)).isEqualTo(500)
        work.retainOpen(emptySet())
        expectThat(tokensAfter(30)).isEqualTo(0)
    }

    /** Guards against a submission that counts twice or anew because it is told again. */
    @Test
    fun `a job that is told again counts once and from its first submission`() {
        work.onSubmitted(job("j"), start)
        work.onSubmitted(job("j"), start + 8.seconds)
        expectThat(tokensAfter(9)).isEqualTo(500)
        work.onEnded("j")
        expectThat(tokensAfter(10)).isEqualTo(0)
        expectThat(work.demand(ModelName("other"), start)).isEqualTo(ModelDemand())
    }

    /** Guards against the memory of a replica that never leads: nobody asks it for a demand. */
    @Test
    fun `ended jobs are forgotten with later submissions`() {
        repeat(100) { number ->
            work.onSubmitted(job("j$number"), start + number.seconds)
            work.onEnded("j$number")
        }
        expectThat(work.size).isEqualTo(10)
    }

    /** Guards against upstreams that are spared a load although the newest step doesn't allow their weights. */
    @Test
    fun `the newest job states the oldest weights`() {
        work.onSubmitted(job("new", minimum = 4), start)
        work.onSubmitted(job("old", minimum = 3), start)
        expectThat(work.demand(model, start)).isEqualTo(ModelDemand(tokens = 1_000, WeightVersion(4)))
    }
}
