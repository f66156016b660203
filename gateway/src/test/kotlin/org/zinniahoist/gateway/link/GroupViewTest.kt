package org.zinniahoist.gateway.link

import org.junit.jupiter.api.Test
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import org.zinniahoist.wire.ServiceMessage
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

class GroupViewTest {
    private val start = Moment.ZERO
    private val seeds = names(1, 2, 3)
    private val view = GroupView(seeds, start)

    private fun names(vararg numbers: Int) = numbers.map { InstanceName("10.0.0.$it:1") }.toSet()

    private fun members(index: Long, term: Long, vararg numbers: Int) =
        ServiceMessage.Members(names(*numbers).toList(), names(numbers.first()).single(), index, term)

    /** Guards against a process that follows former members, which a replica that replays its log announced. */
    @Test
    fun `members with a smaller index do not replace the known ones`() {
        view.onMembers(members(index = 20, term = 4, 7, 8, 9), start)
        expectThat(view.onMembers(members(index = 3, term = 4, 1, 2, 3), start)).isFalse()
        expectThat(view.members).isEqualTo(names(7, 8, 9))
    }

    /** Guards against calls to a former leader, which a replica that was paused announces after the next election. */
    @Test
    fun `a leader of an earlier term does not replace the known one`() {
        view.onMembers(members(index = 3, term = 5, 2, 3), start)
        view.onMembers(members(index = 3, term = 4, 3, 2), start)
        view.onHint(names(1).single(), connected = names(1, 2))
        expectThat(view.leader).isEqualTo(names(2).single())
    }

    /** Guards against a process that closes its last working links because of one announcement. */
    @Test
    fun `an open link to a former member is kept`() {
        view.onMembers(members(index = 3, term = 1, 4, 5, 6), start)
        view.onMembers(members(index = 9, term = 1, 6, 7, 8), start)
        expectThat(view.targets(connected = names(4, 6), start)).isEqualTo(seeds + names(4, 6, 7, 8))
        expectThat(view.targets(connected = names(6), start)).isEqualTo(seeds + names(6, 7, 8))
    }

    /** Guards against calls that start at the wrong replica for a whole term, because of a hint to one that is gone. */
    @Test
    fun `a hint replaces a leader without an open link`() {
        view.onMembers(members(index = 3, term = 5, 2, 3), start)
        view.onNotLeading(names(2).single())
        view.onHint(names(1).single(), connected = names(2, 3))
        view.onHint(names(2).single(), connected = names(2, 3))
        expectThat(view.leader).isEqualTo(names(2).single())
    }

    /** Guards against an entry that never starts to serve: its first call fails on the hint of a replica. */
    @Test
    fun `a hint is used while no leader is known`() {
        val connected = ConcurrentHashMap.newKeySet<InstanceName>()
        connected += names(1, 2)
        view.onHint(names(2).single(), connected)
        expectThat(view.leader).isEqualTo(names(2).single())
    }

    /** Guards against a process that was cut off for so long that all members and seeds which it contacts are gone. */
    @Test
    fun `an isolated process contacts all replicas it has known until it hears one that has caught up`() {
        view.onMembers(members(index = 3, term = 1, 4, 5, 6), start)
        view.onMembers(members(index = 9, term = 1, 6, 7, 8), start)
        val later = start + 6.seconds
        expectThat(view.targets(emptySet(), later)).isEqualTo(names(1, 2, 3, 4, 5, 6, 7, 8))
        view.onContact(later)
        expectThat(view.targets(emptySet(), later)).isEqualTo(seeds + names(6, 7, 8))
    }

    /** Guards against a false alarm: replicas state the same members with different positions after a compaction. */
    @Test
    fun `a process in contact is not isolated, whatever position its replicas announce`() {
        view.onMembers(members(index = 20_000, term = 1, 4, 5, 6), start)
        view.onMembers(members(index = 19_000, term = 1, 4, 5, 6), start)
        val later = start + 60.seconds
        view.onContact(later)
        expectThat(view.isIsolated(later)).isFalse()
    }

    /** Guards against processes that ignore a group which was set up anew, or whose replicas run an earlier release. */
    @Test
    fun `an isolated process accepts members without a position`() {
        view.onMembers(members(index = 9, term = 4, 4, 5, 6), start)
        view.onMembers(members(index = 0, term = 0, 7, 8, 9), start)
        expectThat(view.members).isEqualTo(names(4, 5, 6))
        view.onMembers(members(index = 0, term = 0, 7, 8, 9), start + 6.seconds)
        expectThat(view.members).isEqualTo(names(7, 8, 9))
        expectThat(view.leader).isEqualTo(names(7).single())
    }

    /** Guards against seeds that hold from the start of the process although the settings list others. */
    @Test
    fun `changed seeds replace the former ones`() {
        view.useSeeds(names(20, 21))
        expectThat(view.targets(emptySet(), start)).containsExactlyInAnyOrder(names(20, 21))
    }

    /** Guards against a set of known replicas that grows with each replacement for as long as the process runs. */
    @Test
    fun `a process remembers a bounded number of replicas`() {
        for (number in 4..250) view.onMembers(members(number.toLong(), 1, number, number + 1, number + 2), start)
        val targets = view.targets(emptySet(), start + 60.seconds)
        expectThat(targets.size).isLessThanOrEqualTo(32 + 3 + seeds.size)
        expectThat(targets.containsAll(names(250, 251, 252) + seeds)).isTrue()
    }

    /** Guards against any order of announcements in which a process goes back to older members or an earlier leader. */
    @Test
    fun `announcements in any order leave the newest members and leader`() {
        for (seed in 0 until 200) {
            val random = Random(seed)
            val history = (1..30).map { members(it * 10L, 1L + it / 3, 3 + it, 4 + it, 5 + it) }
            val group = GroupView(seeds, start)
            var newest = 0L
            var latestTerm = 0L
            for (announced in (history + history).shuffled(random).take(40)) {
                group.onMembers(announced, start)
                newest = maxOf(newest, announced.index)
                latestTerm = maxOf(latestTerm, announced.term)
                expectThat(group.members).isEqualTo(history.single { it.index == newest }.members.toSet())
                expectThat(history.single { it.leader == group.leader }.term).isEqualTo(latestTerm)
            }
            expectThat(group.members).hasSize(3)
        }
    }
}
