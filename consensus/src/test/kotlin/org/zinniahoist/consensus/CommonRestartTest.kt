package org.zinniahoist.consensus

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import strikt.api.expectThat
import strikt.assertions.isLessThanOrEqualTo
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests the time without a leader after all replicas of a group were restarted at the same moment. */
internal class CommonRestartTest {
    /** Guards against candidates that split the votes and then wait for the full election timeout. */
    @ParameterizedTest
    @ValueSource(ints = [3, 5])
    fun `a group that restarts together elects a leader without an election timeout`(size: Int) {
        val delays = (1L..SEEDS).map { RestartingGroup(size, Random(it)).timeToLeader() }.sorted()
        println("election size=$size median=${delays[delays.size / 2]} longest=${delays.last()}")
        expectThat(delays[delays.size * 95 / 100]).isLessThanOrEqualTo(ELECTION_TARGET)
        expectThat(delays.last()).isLessThanOrEqualTo(ELECTION_TARGET * 2)
    }

    /** Guards against a candidate that gives way forever to another one that can't win. */
    @Test
    fun `a candidate wins although another one that reaches nobody else asks again and again`() {
        val delays = (1L..SEEDS).map { seed ->
            val group = RestartingGroup(3, Random(seed))
            group.cut(InstanceName("n2"), InstanceName("n1"))
            group.timeToLeader()
        }
        expectThat(delays.max()).isLessThanOrEqualTo(ELECTION_TARGET * 3)
    }

    /** Replicas that start within [START_SPREAD] and exchange messages with the delays of processes that warm up. */
    private class RestartingGroup(
        size: Int,
        private val random: Random,
    ) {
        private class Event(
            val at: Moment,
            val order: Long,
            val action: () -> Unit,
        )

        private val addresses =
            List(size) { ReplicaAddress(ReplicaIdentifier(random.nextLong()), InstanceName("n$it")) }
        private val configuration = Configuration(addresses.map { Member(it, voter = true) })
        private val events = PriorityQueue(compareBy<Event>({ it.at }, { it.order }))
        private val replicas = HashMap<InstanceName, Replica>()
        private val cutLinks = HashSet<Set<InstanceName>>()
        private var now = Moment.ZERO
        private var order = 0L

        fun cut(one: InstanceName, other: InstanceName) {
            cutLinks += setOf(one, other)
        }

        fun timeToLeader(): Duration {
            for (address in addresses) after(between(Duration.ZERO, START_SPREAD)) { start(address) }
            while (replicas.values.none { it.isLeader } && now < Moment.ZERO + LIMIT) {
                val event = events.poll()
                now = event.at
                event.action()
            }
            return now - Moment.ZERO - START_SPREAD
        }

        private fun start(address: ReplicaAddress) {
            val entry = LogEntry(1, 1, 1_000, command = null, configuration)
            val recovered = RecoveredState(address.identifier, HardState(1, null), null, listOf(entry))
            replicas[address.instance] = Replica(address.instance, ReplicaOptions(), recovered, random, now)
            tick(address.instance)
        }

        private fun tick(instance: InstanceName) {
            step(instance, ReplicaEvent.Tick)
            after(TICK) { tick(instance) }
        }

        private fun step(instance: InstanceName, event: ReplicaEvent) {
            val replica = replicas[instance] ?: return
            for (action in replica.step(now, listOf(event))) {
                when (action) {
                    is ReplicaAction.Send -> send(instance, action)
                    is ReplicaAction.Persist -> after(SYNC) { step(instance, ReplicaEvent.Persisted(action.sequence)) }
                    else -> Unit
                }
            }
        }

        private fun send(from: InstanceName, action: ReplicaAction.Send) {
            if (setOf(from, action.instance) in cutLinks) return
            after(between(MINIMUM_DELAY, MAXIMUM_DELAY)) { step(action.instance, ReplicaEvent.Receive(action.message)) }
        }

        private fun after(delay: Duration, action: () -> Unit) {
            events += Event(now + delay, order++, action)
        }

        private fun between(minimum: Duration, maximum: Duration): Duration =
            minimum + (maximum - minimum) * random.nextDouble()
    }

    private companion object {
        const val SEEDS = 300L

        /** Share of the second within which a deployment answers again after a common restart. */
        val ELECTION_TARGET = 400.milliseconds
        val START_SPREAD = 80.milliseconds
        val TICK = 50.milliseconds
        val SYNC = 5.milliseconds
        val MINIMUM_DELAY = 2.milliseconds
        val MAXIMUM_DELAY = 40.milliseconds
        val LIMIT = 10.seconds
    }
}
