package org.zinniahoist.operator

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.zinniahoist.model.BranchName
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import java.nio.file.Path

class ApplyTest {
    @TempDir
    lateinit var folder: Path
    private val tool by lazy { ToolFixture(folder) }

    @AfterEach
    fun stop() = tool.close()

    private val attempts: String?
        get() = tool.control.machine.tree.effective(BranchName("root"))?.get("retry.attempts")?.value

    private val revision: Long get() = tool.control.machine.tree.revision.value

    @Nested
    inner class Edits {
        @Test
        fun `apply makes the planned edits and run again changes nothing`() {
            expectThat(tool.apply(ToolFixture.tree(2))) {
                get { exitCode }.isEqualTo(ExitCode.SUCCESS)
                get { out }.isEqualTo("revision 1, in force everywhere\n")
            }
            expectThat(tool.apply(ToolFixture.tree(2)).out).contains("nothing to change at revision 1")
            expectThat(revision).isEqualTo(1)
        }

        @Test
        fun `an answer that is lost once is asked for again by the same run`() {
            tool.control.lostAnswers = 1
            expectThat(tool.apply(ToolFixture.tree(2)).exitCode).isEqualTo(ExitCode.SUCCESS)
            expectThat(revision).isEqualTo(1)
        }

        @Test
        fun `a run whose answers are all lost says so and can be repeated`() {
            tool.control.lostAnswers = 10
            expectThat(tool.apply(ToolFixture.tree(2))) {
                get { exitCode }.isEqualTo(ExitCode.UNAVAILABLE)
                get { error }.contains("may-have-run").contains("running it again is safe")
            }
            tool.control.lostAnswers = 0
            expectThat(tool.apply(ToolFixture.tree(2)).exitCode).isEqualTo(ExitCode.SUCCESS)
            expectThat(revision).isEqualTo(1)
        }

        @Test
        fun `of two racing applies one wins and the other names the winner`() {
            tool.apply(ToolFixture.tree(2))
            var winner = ""
            tool.control.beforeCommand = { winner = tool.apply(ToolFixture.tree(5)).out }
            expectThat(tool.apply(ToolFixture.tree(4))) {
                get { exitCode }.isEqualTo(ExitCode.REFUSED)
                get { error }.contains("came first").contains("operator ana")
            }
            expectThat(winner).contains("revision 2")
            expectThat(attempts).isEqualTo("5")
        }

        @Test
        fun `a branch that is created again after its removal is a new edit`() {
            val branch = "[root/a]\nretry.attempts = 3\n"
            tool.apply(ToolFixture.tree(2) + branch)
            tool.apply(ToolFixture.tree(2))
            expectThat(tool.apply(ToolFixture.tree(2) + branch).exitCode).isEqualTo(ExitCode.SUCCESS)
            expectThat(tool.control.machine.tree.branches[BranchName("root/a")]).isNotEqualTo(null)
        }

        @Test
        fun `a plan against an older revision or for another office is refused`() {
            tool.apply(ToolFixture.tree(2))
            expectThat(tool.apply(ToolFixture.tree(3), "--planned-revision", "0").exitCode).isEqualTo(ExitCode.REFUSED)
            val other = tool.run(
                "apply",
                tool.file("other.ini", ToolFixture.tree(3)),
                "--control",
                tool.address,
                "--office",
                "alpha",
            )
            expectThat(other.exitCode).isEqualTo(ExitCode.REFUSED)
            expectThat(other.error).contains("root of shared")
            expectThat(attempts).isEqualTo("2")
        }
    }

    @Nested
    inner class InForce {
        @Test
        fun `a process that lags is named and the edit stays accepted`() {
            tool.revisionInForce = 0
            expectThat(tool.apply(ToolFixture.tree(2), "--wait", "1")) {
                get { exitCode }.isEqualTo(ExitCode.UNAVAILABLE)
                get { error }.contains("in force in 1 of 2 processes").contains("e1 (revision 0)")
            }
            expectThat(revision).isEqualTo(1)
        }
    }

    @Nested
    inner class Revert {
        @Test
        fun `revert brings back the values of an earlier revision as a new revision`() {
            (2..4).forEach { tool.apply(ToolFixture.tree(it)) }
            val run = tool.run("revert", "1", "--control", tool.address, "--office", "shared", "--operator", "ana")
            expectThat(run.out).isEqualTo("revision 4, in force everywhere\n")
            expectThat(attempts).isEqualTo("2")
            expectThat(tool.run("diff", "3", "4", "--control", tool.address).out)
                .isEqualTo("root retry.attempts: 4 -> 2\n")
        }

        @Test
        fun `a revision that does not exist is refused`() {
            val run = tool.run("revert", "9", "--control", tool.address, "--office", "shared")
            expectThat(run.exitCode).isEqualTo(ExitCode.REFUSED)
        }
    }
}
