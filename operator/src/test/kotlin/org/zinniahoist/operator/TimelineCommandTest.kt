package org.zinniahoist.operator

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.zinniahoist.daemon.timeline.HybridClock
import org.zinniahoist.daemon.timeline.TimelineHttp
import org.zinniahoist.daemon.timeline.TimelineRecorder
import org.zinniahoist.daemon.timeline.record
import org.zinniahoist.model.InstanceName
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import java.nio.file.Path
import javax.xml.parsers.DocumentBuilderFactory

class TimelineCommandTest {
    @TempDir
    lateinit var folder: Path
    private val tool by lazy { ToolFixture(folder) }
    private var time = 1_000L
    private val entry = recorder("e1")
    private val sidecar = recorder("s1")

    private fun recorder(name: String) = TimelineRecorder(InstanceName(name), HybridClock { time }, log = {})

    private fun serve(recorder: TimelineRecorder) = tool.server { TimelineHttp(recorder).configure(it) }

    @AfterEach
    fun stop() = tool.close()

    /** A step with samples on two engines, of which one swaps its weights, crashes and stalls. */
    private fun recordStep() {
        val actions = mutableListOf<Pair<Long, () -> Unit>>()

        fun attempt(
            number: Int,
            start: Long,
            end: Long,
            engine: String,
            outcome: String = "sample-drafted",
        ) {
            val request = "request" to "r$number"
            val attempt = "attempt" to "a$number"
            val sample = "sample" to "t/7/0/$number"
            actions += start to { entry.record("attempt-start", request, attempt, "instance" to engine) }
            actions += end to {
                entry.record(outcome, sample, attempt, "recorded" to true.takeIf { outcome == "sample-drafted" })
                entry.record("attempt-end", request, attempt, "verdict" to "Completed")
            }
        }
        attempt(1, 1_000, 1_900, "s1")
        attempt(2, 1_100, 2_400, "s1")
        attempt(3, 1_050, 3_800, "s2")
        attempt(4, 3_000, 3_400, "s1", outcome = "sample-discarded")
        attempt(5, 3_500, 5_000, "s2")
        actions += 2_500L to { sidecar.record("order-sent", "order" to "LoadVersion(model=m, version=4)") }
        actions += 3_400L to { sidecar.record("upstream-crashed", "attempts" to "[a4]") }
        actions += 9_000L to { entry.record("attempt-start", "attempt" to "a9", "instance" to "s3") }
        actions.sortedBy { it.first }.forEach { (moment, action) ->
            time = moment
            action()
        }
    }

    @Nested
    inner class Merge {
        @Test
        fun `events of several daemons come in the order of their stamps`() {
            entry.record("first", "revision" to 3)
            time = 1_001
            sidecar.record("second", "request" to "r1")
            time = 1_002
            entry.record("third", "request" to "r1")
            val daemons = arrayOf("--daemon", serve(sidecar), "--daemon", serve(entry))
            fun names(vararg filter: String) = tool.run("timeline", *daemons, *filter).out.trim().lines()
                .map { it.split(' ')[2] }
            expectThat(names()).containsExactly("first", "second", "third")
            expectThat(names("--request", "r1")).containsExactly("second", "third")
            expectThat(names("--revision", "3")).containsExactly("first")
        }

        @Test
        fun `a daemon that does not answer is named and the events of the others are shown`() {
            entry.record("first")
            val run = tool.run("timeline", "--daemon", "127.0.0.1:1", "--daemon", serve(entry))
            expectThat(run) {
                get { exitCode }.isEqualTo(ExitCode.UNAVAILABLE)
                get { out }.contains("first")
                get { error }.contains("127.0.0.1:1")
            }
        }

        @Test
        fun `the events of a step include those of its attempts`() {
            recordStep()
            val run = tool.run("timeline", "--daemon", serve(entry), "--step", "t/7")
            expectThat(run.out.lines().count { "attempt-start" in it }).isEqualTo(5)
        }
    }

    @Nested
    inner class Picture {
        @Test
        fun `a step is drawn with engines, samples, swaps, faults and stalls`() {
            recordStep()
            val file = folder.resolve("step.svg")
            val daemons = arrayOf("--daemon", serve(sidecar), "--daemon", serve(entry))
            val run = tool.run("timeline", *daemons, "--step", "t/7", "--picture", file.toString())
            expectThat(run.exitCode).isEqualTo(ExitCode.SUCCESS)
            val document = DocumentBuilderFactory.newInstance().newDocumentBuilder().parse(file.toFile())
            val titles = document.getElementsByTagName("title")
            val shown = (0 until titles.length).map { titles.item(it).textContent }
            expectThat(shown).containsExactly(
                "no sample running, 600 ms",
                "no sample running, 1600 ms",
                "t/7/0/1, 900 ms",
                "t/7/0/4, 400 ms",
                "t/7/0/2, 1300 ms",
                "t/7/0/3, 2750 ms",
                "t/7/0/5, 1500 ms",
            )
        }

        @Test
        fun `a step without events is refused`() {
            val file = folder.resolve("step.svg").toString()
            val run = tool.run("timeline", "--daemon", serve(entry), "--step", "t/1", "--picture", file)
            expectThat(run.exitCode).isEqualTo(ExitCode.REFUSED)
        }
    }
}
