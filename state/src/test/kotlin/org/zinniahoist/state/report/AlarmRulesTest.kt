package org.zinniahoist.state.report

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Revision
import org.zinniahoist.model.Role
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty

class AlarmRulesTest {
    private val defaultLeader = InstanceName("c1")

    private fun group(
        voters: Int,
        learners: Int = 0,
        leader: InstanceName? = defaultLeader,
        failure: String? = null,
    ) = GroupReport(
        name = "settings",
        leader = leader,
        term = 1,
        commitIndex = 5,
        lastIndex = 5,
        members = List(voters + learners) { MemberReport(InstanceName("c$it"), "$it", it < voters) },
        failure = failure,
    )

    private fun process(revision: Long, age: Long?) =
        ProcessReport(InstanceName("e1"), setOf(Role.ENTRY), Revision(revision), heartbeatAgeMilliseconds = age)

    private fun kinds(vararg groups: GroupReport, processes: List<ProcessReport> = emptyList()) =
        AlarmRules.check(Revision(4), groups.toList(), processes).map { it.kind }

    @Nested
    inner class Groups {
        @Test
        fun `three voters with a leader raise no alarm`() {
            expectThat(kinds(group(voters = 3))).isEmpty()
        }

        @Test
        fun `a missing voter and a learner raise one alarm each`() {
            expectThat(kinds(group(voters = 2, learners = 1)))
                .containsExactly(AlarmKind.GROUP_WITHOUT_RESERVE, AlarmKind.MEMBER_LEARNING)
        }

        @Test
        fun `a stopped replica raises no alarm about a missing leader`() {
            expectThat(kinds(group(voters = 3, leader = null))).containsExactly(AlarmKind.GROUP_WITHOUT_LEADER)
            expectThat(kinds(group(voters = 3, leader = null, failure = "sync failed")))
                .containsExactly(AlarmKind.REPLICA_STOPPED)
        }
    }

    @Nested
    inner class Processes {
        @Test
        fun `a process with old settings raises an alarm about its settings unless its heartbeats are overdue`() {
            expectThat(kinds(processes = listOf(process(4, 3_000)))).isEmpty()
            expectThat(kinds(processes = listOf(process(3, 100)))).containsExactly(AlarmKind.SETTINGS_LAGGING)
            expectThat(kinds(processes = listOf(process(3, 3_001)))).containsExactly(AlarmKind.PROCESS_SILENT)
            expectThat(kinds(processes = listOf(process(4, null)))).containsExactly(AlarmKind.PROCESS_SILENT)
        }
    }
}
