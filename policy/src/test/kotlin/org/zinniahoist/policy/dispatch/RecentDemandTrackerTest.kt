package org.zinniahoist.policy.dispatch

import org.junit.jupiter.api.Test
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.WeightVersion
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

internal class RecentDemandTrackerTest {
    private val model = ModelName("m")
    private val work = RecentDemandTracker(retention = 10.seconds)
    private val start = Moment.ZERO + 60.seconds

    private fun job(name: String, minimum: Long = 1) = JobDemand(name, model, tokens = 500, WeightVersion(minimum))

    private fun tokensAfter(seconds: Int) = work.demand(model, start + seconds.seconds).tokens

    /** Guards against a model that loses its upstreams between two steps, when it has no open job. */
    @Test
    fun `an ended job counts until its retention has passed`() {
        work.onSubmitted(job("j"), start)
        work.onEnded("j")
        expectThat(tokensAfter(9)).isEqualTo(500)
        expectThat(tokensAfter(10)).isEqualTo(0)
    }

    /** Guards against a vicious circle: a model falls behind, loses upstreams and falls behind further. */
    @Test
    fun `an open job counts as long as it is open`() {
        work.onSubmitted(job("j"), start)
        expectThat(tokensAfter(30)).isEqualTo(500)
        work.retainOpen(emptySet())
        expectThat(tokensAfter(30)).isEqualTo(0)
    }

    /** Guards against a repeated notification that counts a job twice or restarts its retention. */
    @Test
    fun `a job that is submitted twice counts once and from its first submission`() {
        work.onSubmitted(job("j"), start)
        work.onSubmitted(job("j"), start + 8.seconds)
        expectThat(tokensAfter(9)).isEqualTo(500)
        work.onEnded("j")
        expectThat(tokensAfter(10)).isEqualTo(0)
        expectThat(work.demand(ModelName("other"), start)).isEqualTo(ModelDemand())
    }

    /** Guards against a memory leak on a replica that never leads and whose demand is never read. */
    @Test
    fun `later submissions evict ended jobs`() {
        repeat(100) { number ->
            work.onSubmitted(job("j$number"), start + number.seconds)
            work.onEnded("j$number")
        }
        expectThat(work.size).isEqualTo(10)
    }

    /** Guards against deferring the load of upstreams whose weights the newest step does not allow. */
    @Test
    fun `the minimum version is the highest of all jobs`() {
        work.onSubmitted(job("new", minimum = 4), start)
        work.onSubmitted(job("old", minimum = 3), start)
        expectThat(work.demand(model, start)).isEqualTo(ModelDemand(tokens = 1_000, WeightVersion(4)))
    }
}
