package org.zinniahoist.policy.poison

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Test
import org.zinniahoist.model.Moment
import org.zinniahoist.model.UpstreamIdentity
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class CrashTableTest {
    private val table = CrashTable()
    private val request = Fingerprint(1)

    private fun crash(
        upstream: String,
        at: Moment,
        fingerprint: Fingerprint = request,
        table: CrashTable = this.table,
    ) = table.add(CrashEvidence(listOf(ObservedCrash(fingerprint, UpstreamIdentity(upstream), at))), at)

    private fun at(offset: Duration) = Moment.ZERO + offset

    /** Guards against a request that crashes one upstream after the other for as long as its client repeats it. */
    @Test
    fun `a request is blocked after three crashes, until they have expired`() {
        crash("a", at(1.seconds))
        crash("b", at(2.seconds))
        expectThat(table.isBlocked(request, at(2.seconds))).isFalse()
        crash("c", at(3.seconds))
        expectThat(table.isBlocked(request, at(3.seconds))).isTrue()
        expectThat(table.isBlocked(request, at(3.seconds) + CrashTable.RETENTION)).isFalse()
    }

    /** Guards against a request that is never blocked because the only upstream starts again under its identity. */
    @Test
    fun `crashes of an upstream that starts again under its identity all count`() {
        repeat(3) { crash("a", at(4.seconds * it)) }
        expectThat(table.isBlocked(request, at(9.seconds))).isTrue()
    }

    /** Guards against blocking a request for one crash that three processes report. */
    @Test
    fun `a crash that several processes observe counts once`() {
        repeat(3) { crash("a", at(300.milliseconds * it)) }
        expectThat(table.crashes(request, at(1.seconds))).containsExactlyInAnyOrder(UpstreamIdentity("a"))
    }

    /** Guards against counting a crash twice because it is also read from the replicated state. */
    @Test
    fun `a crash counts once with its restored copy, whatever the clocks say`() {
        val restored = ObservedCrash(request, UpstreamIdentity("a"), at(60.seconds), isRestored = true)
        crash("a", at(1.seconds))
        expectThat(table.add(CrashEvidence(listOf(restored)), at(60.seconds)).isEmpty).isTrue()
        expectThat(table.crashes(request, at(60.seconds))).containsExactlyInAnyOrder(UpstreamIdentity("a"))
        val other = CrashTable().also { it.add(CrashEvidence(listOf(restored)), at(60.seconds)) }
        crash("a", at(1.seconds), table = other)
        expectThat(other.crashes(request, at(60.seconds))).containsExactlyInAnyOrder(UpstreamIdentity("a"))
        expectThat(other.evidence(at(60.seconds)).crashes.single().isRestored).isFalse()
    }

    /** Guards against refusing a request that many clients send, while upstreams are killed one after the other. */
    @Test
    fun `a request in flight at each crash is not blocked while runs complete`() {
        repeat(10) { round ->
            val killedAt = at(4.seconds * round)
            repeat(20) { table.onCompleted(request, killedAt - it.milliseconds) }
            crash("u$round", killedAt)
            expectThat(table.isBlocked(request, killedAt)).isFalse()
        }
    }

    /** Guards against refusing a request that many clients send, after all upstreams lost power at once. */
    @Test
    fun `crashes of all upstreams shortly after a completed run do not block a request`() {
        table.onCompleted(request, at(1.seconds))
        listOf("a", "b", "c", "d").forEach { crash(it, at(1_500.milliseconds)) }
        expectThat(table.isBlocked(request, at(2.seconds))).isFalse()
    }

    /** Guards against a request that is never stopped because it was sound before a new version of the upstreams. */
    @Test
    fun `crashes long after the last completed run block a request`() {
        table.onCompleted(request, at(1.seconds))
        listOf("a", "b", "c").forEach { crash(it, at(7.seconds)) }
        expectThat(table.isBlocked(request, at(8.seconds))).isTrue()
    }

    /** Guards against a process that blocks a request although another one knows that it completes. */
    @Test
    fun `a process that saw a run complete refutes the evidence of others`() {
        val other = CrashTable()
        table.onCompleted(request, at(1.seconds))
        listOf("a", "b", "c").forEach {
            val news = table.add(crash(it, at(2.seconds), table = other), at(2.seconds))
            other.add(news, at(2.seconds))
        }
        expectThat(other.isBlocked(request, at(3.seconds))).isFalse()
    }

    /** Guards against messages for each completed run of a request that nobody suspects. */
    @Test
    fun `only the first completed run after a crash is shared`() {
        expectThat(table.onCompleted(request, at(1.seconds)).isEmpty).isTrue()
        crash("a", at(10.seconds))
        expectThat(table.onCompleted(request, at(11.seconds)).isEmpty).isFalse()
        expectThat(table.onCompleted(request, at(12.seconds)).isEmpty).isTrue()
    }

    /** Guards against unbounded memory, and against forgetting a blocked request for the sake of innocent ones. */
    @Test
    fun `the table stays bounded and retains blocked requests`() {
        val bounded = CrashTable(capacity = 100)
        listOf("a", "b", "c").forEach { crash(it, at(1.seconds), table = bounded) }
        for (number in 2L..10_000L) crash("d", at(2.seconds), Fingerprint(number), bounded)
        expectThat(bounded.size).isLessThanOrEqualTo(100)
        expectThat(bounded.isBlocked(request, at(2.seconds))).isTrue()
    }

    /** Guards against processes that disagree on a request because reports reached them in different orders. */
    @Property(tries = 300, seed = "41")
    fun `observations merge in any order to the same decision`(@ForAll seed: Long) {
        val random = Random(seed)
        val evidence = List(random.nextInt(1, 8)) {
            // Restarts take longer than the difference between the observations of two processes.
            val time = at(4.seconds * random.nextInt(5) + random.nextInt(500).milliseconds)
            if (random.nextInt(4) == 0) {
                CrashEvidence(completions = listOf(ObservedCompletion(request, time)))
            } else {
                CrashEvidence(listOf(ObservedCrash(request, UpstreamIdentity("u${random.nextInt(5)}"), time)))
            }
        }
        val now = at(30.seconds)
        val orders = listOf(evidence, evidence.shuffled(random), evidence.reversed())
        val decisions = orders.map { order ->
            CrashTable().also { table -> order.forEach { table.add(it, now) } }.isBlocked(request, now)
        }
        expectThat(decisions.distinct().size).isEqualTo(1)
    }

    /** Guards against processes that disagree on a request because some of them read crashes from the state first. */
    @Property(tries = 300, seed = "42")
    fun `restored crashes merge in any order to the same decision`(@ForAll seed: Long) {
        val random = Random(seed)
        val crashes = List(random.nextInt(1, 6)) {
            val upstream = UpstreamIdentity("u${random.nextInt(3)}")
            ObservedCrash(request, upstream, at(4.seconds * random.nextInt(5)), isRestored = random.nextBoolean())
        }
        val now = at(30.seconds)
        val orders = listOf(crashes, crashes.shuffled(random), crashes.reversed())
        val decisions = orders.map { order ->
            CrashTable().also { table -> order.forEach { table.add(CrashEvidence(listOf(it)), now) } }
                .isBlocked(request, now)
        }
        expectThat(decisions.distinct().size).isEqualTo(1)
    }
}
