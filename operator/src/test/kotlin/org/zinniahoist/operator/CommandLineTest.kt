package org.zinniahoist.operator

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.zinniahoist.consensus.Configuration
import org.zinniahoist.consensus.DiskFileStore
import org.zinniahoist.consensus.GroupStorage
import org.zinniahoist.consensus.Member
import org.zinniahoist.consensus.ReplicaAddress
import org.zinniahoist.consensus.ReplicaIdentifier
import org.zinniahoist.model.InstanceName
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith
import java.nio.file.Path
import kotlin.io.path.writeBytes

class CommandLineTest {
    @TempDir
    lateinit var folder: Path
    private val tool by lazy { ToolFixture(folder) }

    @AfterEach
    fun stop() = tool.close()

    @Nested
    inner class Usage {
        @Test
        fun `a misspelt command gets a suggestion`() {
            expectThat(tool.run("aply")) {
                get { exitCode }.isEqualTo(ExitCode.USAGE)
                get { error }.contains("did you mean 'apply'?")
            }
        }

        @Test
        fun `faults of the command line are usage errors`() {
            val runs = listOf(
                tool.run(),
                tool.run("status"),
                tool.run("status", "--colour"),
                tool.run("drain", "--control", tool.address),
                tool.run("timeline", "--control", tool.address),
                tool.run("storage", "erase", "x"),
            )
            runs.forEach { expectThat(it.exitCode).isEqualTo(ExitCode.USAGE) }
        }

        @Test
        fun `help and version succeed for the tool and help for each command`() {
            val overview = tool.run("--help").out
            expectThat(tool.run("--version").out).startsWith("zinniahoistctl ")
            val commands = overview.substringAfter("commands:\n").lines().filter { it.isNotBlank() }
            commands.map { it.trim().substringBefore(' ') }.forEach { command ->
                expectThat(tool.run(command, "--help")) {
                    get { exitCode }.isEqualTo(ExitCode.SUCCESS)
                    get { out }.contains(command)
                }
            }
            expectThat(commands.size).isEqualTo(13)
        }
    }

    @Nested
    inner class Files {
        @Test
        fun `validate reports all faults with file and line`() {
            val file = tool.file("bad.ini", "[root]\noffice = shared\nretry.attemps = 2\nretry.attempts = x\n")
            expectThat(tool.run("validate", file)) {
                get { exitCode }.isEqualTo(ExitCode.INVALID_FILE)
                get { error }.contains("$file:3").contains("retry.attempts").contains("$file:4")
            }
            expectThat(tool.run("validate", tool.file("good.ini", ToolFixture.tree(2)), "--output", "json").out)
                .isEqualTo("{\"branches\":1}\n")
        }

        @Test
        fun `a token file that can't be read is an invalid file`() {
            val run = tool.run("status", "--control", tool.address, "--token-file", folder.resolve("none").toString())
            expectThat(run.exitCode).isEqualTo(ExitCode.INVALID_FILE)
        }
    }

    @Nested
    inner class Control {
        @Test
        fun `without a majority or a server the command is unavailable`() {
            tool.control.available = false
            expectThat(tool.run("overview-is-no-command").exitCode).isEqualTo(ExitCode.USAGE)
            expectThat(tool.run("history", "--control", tool.address)) {
                get { exitCode }.isEqualTo(ExitCode.UNAVAILABLE)
                get { error }.contains("no majority")
            }
            expectThat(tool.run("status", "--control", "127.0.0.1:1").exitCode).isEqualTo(ExitCode.UNAVAILABLE)
        }

        @Test
        fun `a replica that does not answer is passed over`() {
            val run = tool.run("status", "--control", "127.0.0.1:1", "--control", tool.address)
            expectThat(run.exitCode).isEqualTo(ExitCode.SUCCESS)
        }

        @Test
        fun `a missing token is refused and the right one is admitted`() {
            val token = tool.file("token", "secret\n")
            expectThat(tool.run("status", "--control", tool.securedAddress).exitCode).isEqualTo(ExitCode.REFUSED)
            expectThat(tool.run("status", "--control", tool.securedAddress, "--token-file", token).exitCode)
                .isEqualTo(ExitCode.SUCCESS)
        }

        @Test
        fun `show names branch and revision of each value`() {
            tool.apply(ToolFixture.tree(2))
            expectThat(tool.run("show", "root", "--control", tool.address).out)
                .contains("retry.attempts = 2  (root at revision 1)\n").contains("(default)")
            expectThat(tool.run("show", "root/x", "--control", tool.address).exitCode).isEqualTo(ExitCode.REFUSED)
        }

        @Test
        fun `plan and history show the edit`() {
            val file = tool.file("tree.ini", ToolFixture.tree(2))
            expectThat(tool.run("plan", file, "--control", tool.address).out).contains("create root (office shared")
            tool.apply(ToolFixture.tree(2))
            expectThat(
                tool.run("history", "--control", tool.address).out,
            ).contains("revision 1 at 1970-01-01T00:00:01Z")
        }

        @Test
        fun `versions are published and withdrawn and instances drained`() {
            fun run(vararg arguments: String) = tool.run(*arguments, "--control", tool.address).out
            expectThat(run("publish", "m", "4")).isEqualTo("version to roll out of m: 4\n")
            expectThat(run("withdraw", "m", "4")).isEqualTo("version to roll out of m: none\n")
            expectThat(run("drain", "s1")).isEqualTo("s1 is now draining\n")
            expectThat(run("drain", "s1", "--end")).isEqualTo("s1 is now not draining\n")
        }
    }

    @Nested
    inner class Storage {
        private val original get() = folder.resolve("settings")

        private fun bootstrap() {
            val identifier = ReplicaIdentifier(1)
            val member = Member(ReplicaAddress(identifier, InstanceName("c1")), voter = true)
            DiskFileStore(original).use { GroupStorage.bootstrap(it, identifier, Configuration(listOf(member)), 1) }
        }

        private fun runStorage(action: String, from: String, vararg more: String) =
            tool.run("storage", action, folder.resolve(from).toString(), *more)

        @Test
        fun `a backup is verified and restored for a new instance`() {
            bootstrap()
            val backup = folder.resolve("backup").toString()
            val restored = folder.resolve("restored").toString()
            expectThat(runStorage("backup", "settings", backup).exitCode).isEqualTo(ExitCode.SUCCESS)
            expectThat(runStorage("backup", "settings", backup).exitCode).isEqualTo(ExitCode.REFUSED)
            val restore = runStorage("restore", "backup", restored, "--instance", "c9")
            expectThat(restore.exitCode).isEqualTo(ExitCode.SUCCESS)
            expectThat(runStorage("inspect", "restored", "--output", "json").out).contains("\"members\":[\"c9\"]")
        }

        @Test
        fun `a damaged folder is an invalid file and one in use is refused`() {
            bootstrap()
            DiskFileStore(original).use {
                expectThat(runStorage("inspect", "settings").exitCode).isEqualTo(ExitCode.REFUSED)
            }
            original.resolve("vote").writeBytes(ByteArray(3))
            expectThat(runStorage("inspect", "settings").exitCode).isEqualTo(ExitCode.INVALID_FILE)
            expectThat(runStorage("inspect", "missing").exitCode).isEqualTo(ExitCode.INVALID_FILE)
        }
    }
}
